#pragma once

#include "codec/json_codec.h"
#include "fuzzing/byte_generator.h"

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace hickorymount::fuzzing {

/// Generates values of the types that the codec describes.
class value_generator
{
public:
    explicit value_generator(byte_generator& bytes) : m_bytes(bytes) {}

    template <class T>
    T make()
    {
        T value{};
        fill(value);
        return value;
    }

private:
    static constexpr std::size_t max_elements = 2;

    template <class T>
    void fill(std::optional<T>& value)
    {
        if (m_bytes.once_in(2)) {
            fill(value.emplace());
        }
    }

    template <class T>
    void fill(shared_value<T>& value)
    {
        value = shared_value<T>(make<T>());
    }

    template <class T>
    void fill(std::vector<T>& values)
    {
        for (std::size_t left = m_bytes.below(max_elements + 1); left > 0; --left) {
            values.push_back(make<T>());
        }
    }

    template <class Key, class Value>
    void fill(std::map<Key, Value>& entries)
    {
        for (std::size_t left = m_bytes.below(max_elements + 1); left > 0; --left) {
            entries.insert_or_assign(make<Key>(), make<Value>());
        }
    }

    template <class Key, class Value>
    void fill(shared_map<Key, Value>& entries)
    {
        for (std::size_t left = m_bytes.below(max_elements + 1); left > 0; --left) {
            entries = std::move(entries).set(make<Key>(), make<Value>());
        }
    }

    template <class... Alternatives>
    void fill(std::variant<Alternatives...>& value)
    {
        const std::size_t chosen = m_bytes.below(sizeof...(Alternatives));
        std::size_t index = 0;
        ((index++ == chosen ? void(value = make<Alternatives>()) : void()), ...);
    }

    /// Printable ASCII, with characters that JSON escapes.
    void fill(std::string& text)
    {
        for (std::size_t left = m_bytes.below(6); left > 0; --left) {
            text += m_bytes.once_in(6) ? '\n' : static_cast<char>(' ' + m_bytes.below(95));
        }
    }

    void fill(bool& value) { value = m_bytes.once_in(2); }
    void fill(double& value) { value = static_cast<double>(m_bytes.below(1 << 20)) / 64; }

    template <class T>
    void fill(T& value)
    {
        if constexpr (codec::described_struct<T>) {
            std::apply([&](const auto&... members) { (fill(value.*(members.pointer)), ...); },
                       codec::description<T>::members);
        } else if constexpr (codec::described_enum<T>) {
            fill_enum(value);
        } else if constexpr (codec::detail::is_identifier<T>::value) {
            fill(value.value);
        } else if constexpr (codec::detail::is_duration<T>::value) {
            value = T{make<std::int64_t>()};
        } else if constexpr (codec::detail::is_time_point<T>::value) {
            value = T{typename T::duration{make<std::int64_t>()}};
        } else {
            static_assert(std::is_integral_v<T>);
            fill_integer(value);
        }
    }

    template <class T>
    void fill_enum(T& value)
    {
        constexpr std::size_t count = std::tuple_size_v<decltype(codec::description<T>::enumerators)>;
        const std::size_t chosen = m_bytes.below(count);
        std::size_t index = 0;
        std::apply(
            [&](const auto&... candidate) {
                ((index++ == chosen ? void(value = candidate.value) : void()), ...);
            },
            codec::description<T>::enumerators);
    }

    template <class T>
    void fill_integer(T& value)
    {
        switch (m_bytes.below(8)) {
        case 0:
            value = std::numeric_limits<T>::max();
            return;
        case 1:
            value = std::numeric_limits<T>::min();
            return;
        default:
            value = static_cast<T>(m_bytes.below(1000));
        }
    }

    byte_generator& m_bytes;
};

} // namespace hickorymount::fuzzing
