#pragma once

#include "base/error.h"
#include "base/identifier.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "codec/description.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace hickorymount::codec {

using json = nlohmann::json;

/// Limits on received input: the size is checked before parsing, the nesting depth during it.
struct input_limits
{
    std::size_t bytes = 0;
    int depth = 0;

    friend bool operator==(const input_limits&, const input_limits&) = default;
};

inline constexpr input_limits caller_input_limits{.bytes = 1 << 20, .depth = 16};
inline constexpr input_limits peer_input_limits{.bytes = 64 << 20, .depth = 32};

/// Parses JSON text. Errors: invalid JSON, or a document that exceeds the limits.
result<json> parse_json(std::string_view text, const input_limits& limits, const std::string& peer);

/// Parses CBOR bytes. Errors: invalid CBOR or UTF-8, or a document that exceeds the limits.
result<json> parse_cbor(std::string_view bytes, const input_limits& limits, const std::string& peer);

/// Encodes a document as CBOR.
std::string to_cbor(const json& document);

/// The document as JSON. Bytes that are not UTF-8, such as those of a malformed request quoted in an error,
/// are replaced by U+FFFD.
std::string to_text(const json& document);

/// True when the text is valid UTF-8.
bool is_utf8(const std::string& text);

namespace detail {

/// State of a decode operation: the path of the current member, and the first error.
struct decode_state
{
    std::string path;
    std::string error;

    /// Records the error unless an earlier one is recorded; returns false.
    bool fail_expected(std::string_view expectation)
    {
        if (error.empty()) {
            error =
                (path.empty() ? std::string("document") : path) + ": expected " + std::string(expectation);
        }
        return false;
    }
};

template <class T>
struct is_identifier : std::false_type
{
};
template <class Tag>
struct is_identifier<identifier<Tag>> : std::true_type
{
};

template <class T>
struct is_duration : std::false_type
{
};
template <class Rep, class Period>
struct is_duration<std::chrono::duration<Rep, Period>> : std::true_type
{
};
template <class T>
struct is_time_point : std::false_type
{
};
template <class Clock, class Duration>
struct is_time_point<std::chrono::time_point<Clock, Duration>> : std::true_type
{
};

// All overloads are declared before their definitions, so that each can call the others for nested types.
template <class T>
json encode_value(const T& value);
template <class T>
json encode_value(const std::optional<T>& value);
template <class T>
json encode_value(const shared_value<T>& value);
template <class T>
json encode_value(const std::vector<T>& values);
template <class Key, class Value>
json encode_value(const std::map<Key, Value>& entries);
template <class Key, class Value>
json encode_value(const shared_map<Key, Value>& entries);
template <class... Alternatives>
json encode_value(const std::variant<Alternatives...>& value);

template <class T>
bool decode_value(const json& source, T& target, decode_state& state);
template <class T>
bool decode_value(const json& source, std::optional<T>& target, decode_state& state);
template <class T>
bool decode_value(const json& source, shared_value<T>& target, decode_state& state);
template <class T>
bool decode_value(const json& source, std::vector<T>& target, decode_state& state);
template <class Key, class Value>
bool decode_value(const json& source, std::map<Key, Value>& target, decode_state& state);
template <class Key, class Value>
bool decode_value(const json& source, shared_map<Key, Value>& target, decode_state& state);
template <class... Alternatives>
bool decode_value(const json& source, std::variant<Alternatives...>& target, decode_state& state);

template <class T>
json encode_value(const std::optional<T>& value)
{
    return value ? encode_value(*value) : json();
}

template <class T>
json encode_value(const shared_value<T>& value)
{
    return encode_value(*value);
}

template <class T>
json encode_value(const std::vector<T>& values)
{
    json list = json::array();
    for (const T& value : values) {
        list.push_back(encode_value(value));
    }
    return list;
}

template <class Map>
json encode_map(const Map& entries)
{
    json list = json::array();
    for (const auto& [key, value] : entries) {
        list.push_back(json::array({encode_value(key), encode_value(value)}));
    }
    return list;
}

template <class Key, class Value>
json encode_value(const std::map<Key, Value>& entries)
{
    return encode_map(entries);
}

template <class Key, class Value>
json encode_value(const shared_map<Key, Value>& entries)
{
    return encode_map(entries);
}

template <class... Alternatives>
json encode_value(const std::variant<Alternatives...>& value)
{
    return std::visit(
        [](const auto& alternative) {
            using type = std::decay_t<decltype(alternative)>;
            json document = json::object();
            document[std::string(description<type>::name)] = encode_value(alternative);
            return document;
        },
        value);
}

template <class T>
json encode_value(const T& value)
{
    if constexpr (described_struct<T>) {
        json document = json::object();
        std::apply(
            [&](const auto&... members) {
                ((document[std::string(members.name)] = encode_value(value.*(members.pointer))), ...);
            },
            description<T>::members);
        return document;
    } else if constexpr (described_enum<T>) {
        return std::string(enumerator_name(value));
    } else if constexpr (is_identifier<T>::value) {
        return value.value;
    } else if constexpr (is_duration<T>::value) {
        return value.count();
    } else if constexpr (is_time_point<T>::value) {
        return value.time_since_epoch().count();
    } else {
        return value;
    }
}

template <class T>
bool decode_value(const json& source, std::optional<T>& target, decode_state& state)
{
    if (source.is_null()) {
        target.reset();
        return true;
    }
    return decode_value(source, target.emplace(), state);
}

template <class T>
bool decode_value(const json& source, shared_value<T>& target, decode_state& state)
{
    T value;
    if (!decode_value(source, value, state)) {
        return false;
    }
    target = shared_value<T>(std::move(value));
    return true;
}

template <class T>
bool decode_value(const json& source, std::vector<T>& target, decode_state& state)
{
    if (!source.is_array()) {
        return state.fail_expected("a list");
    }
    target.clear();
    for (const json& item : source) {
        T value{};
        if (!decode_value(item, value, state)) {
            return false;
        }
        target.push_back(std::move(value));
    }
    return true;
}

template <class Key, class Value, class Insert>
bool decode_map(const json& source, decode_state& state, Insert insert)
{
    if (!source.is_array()) {
        return state.fail_expected("a list of pairs");
    }
    for (const json& item : source) {
        Key key{};
        Value value{};
        if (!item.is_array() || item.size() != 2) {
            return state.fail_expected("a pair");
        }
        if (!decode_value(item[0], key, state) || !decode_value(item[1], value, state)) {
            return false;
        }
        insert(std::move(key), std::move(value));
    }
    return true;
}

template <class Key, class Value>
bool decode_value(const json& source, std::map<Key, Value>& target, decode_state& state)
{
    return decode_map<Key, Value>(source, state, [&](Key key, Value value) {
        target.insert_or_assign(std::move(key), std::move(value));
    });
}

template <class Key, class Value>
bool decode_value(const json& source, shared_map<Key, Value>& target, decode_state& state)
{
    return decode_map<Key, Value>(source, state, [&](Key key, Value value) {
        target = std::move(target).set(std::move(key), std::move(value));
    });
}

template <class... Alternatives>
bool decode_value(const json& source, std::variant<Alternatives...>& target, decode_state& state)
{
    if (!source.is_object() || source.size() != 1) {
        return state.fail_expected("an object with one member that names its kind");
    }
    const std::string& name = source.begin().key();
    bool is_known = false;
    bool decoded = false;
    const auto try_alternative = [&]<class Alternative>(std::type_identity<Alternative>) {
        if (is_known || description<Alternative>::name != name) {
            return;
        }
        is_known = true;
        Alternative value{};
        decoded = decode_value(source.begin().value(), value, state);
        target = std::move(value);
    };
    (try_alternative(std::type_identity<Alternatives>{}), ...);
    return is_known ? decoded : state.fail_expected("a known kind, not '" + name + "'");
}

template <class T>
bool decode_struct(const json& source, T& target, decode_state& state)
{
    if (!source.is_object()) {
        return state.fail_expected("an object");
    }
    std::size_t found_members = 0;
    const auto decode_member = [&](const auto& item) {
        const std::string parent_path = state.path;
        state.path += (parent_path.empty() ? "" : ".") + std::string(item.name);
        const auto found = source.find(std::string(item.name));
        bool decoded = true;
        if (found != source.end()) {
            ++found_members;
            decoded = decode_value(*found, target.*(item.pointer), state);
        } else {
            using type = std::decay_t<decltype(target.*(item.pointer))>;
            constexpr bool is_optional = requires(type value)
            {
                value.reset();
            };
            decoded = is_optional || state.fail_expected("a value, found none");
        }
        state.path = parent_path;
        return decoded;
    };
    const bool decoded = std::apply([&](const auto&... items) { return (decode_member(items) && ...); },
                                    description<T>::members);
    if (!decoded) {
        return false;
    }
    return found_members == source.size() || state.fail_expected("only known members; one is unknown");
}

template <class T>
bool decode_enum(const json& source, T& target, decode_state& state)
{
    if (!source.is_string()) {
        return state.fail_expected("a string");
    }
    const auto& name = source.get_ref<const std::string&>();
    bool is_known = false;
    const auto match_name = [&](const auto& candidate) {
        if (candidate.name == name) {
            target = candidate.value;
            is_known = true;
        }
    };
    std::apply([&](const auto&... candidate) { (match_name(candidate), ...); }, description<T>::enumerators);
    return is_known || state.fail_expected("a known value, not '" + name + "'");
}

template <class T>
bool decode_integer(const json& source, T& target, decode_state& state)
{
    if (!source.is_number_integer()) {
        return state.fail_expected("a whole number");
    }
    if constexpr (std::is_unsigned_v<T>) {
        if (!source.is_number_unsigned()) {
            return state.fail_expected("a number that is not negative");
        }
    }
    const bool is_in_range = source.is_number_unsigned() ? std::in_range<T>(source.get<std::uint64_t>())
                                                         : std::in_range<T>(source.get<std::int64_t>());
    if (!is_in_range) {
        return state.fail_expected("a number in the range of its type");
    }
    target = source.get<T>();
    return true;
}

template <class T>
bool decode_value(const json& source, T& target, decode_state& state)
{
    if constexpr (described_struct<T>) {
        return decode_struct(source, target, state);
    } else if constexpr (described_enum<T>) {
        return decode_enum(source, target, state);
    } else if constexpr (is_identifier<T>::value) {
        return decode_value(source, target.value, state);
    } else if constexpr (is_duration<T>::value) {
        std::int64_t count = 0;
        const bool decoded = decode_integer(source, count, state);
        target = T{count};
        return decoded;
    } else if constexpr (is_time_point<T>::value) {
        std::int64_t count = 0;
        const bool decoded = decode_integer(source, count, state);
        target = T{typename T::duration{count}};
        return decoded;
    } else if constexpr (std::is_same_v<T, bool>) {
        return source.is_boolean() ? (target = source.get<bool>(), true)
                                   : state.fail_expected("true or false");
    } else if constexpr (std::is_same_v<T, std::string>) {
        return source.is_string() ? (target = source.get<std::string>(), true)
                                  : state.fail_expected("a string");
    } else if constexpr (std::is_same_v<T, double>) {
        return source.is_number() ? (target = source.get<double>(), true) : state.fail_expected("a number");
    } else {
        static_assert(std::is_integral_v<T>);
        return decode_integer(source, target, state);
    }
}

} // namespace detail

/// Encodes a value as a document.
template <class T>
json encode(const T& value)
{
    return detail::encode_value(value);
}

/// Decodes a document. Errors: a missing, unknown or mistyped member, with its path.
template <class T>
result<T> decode(const json& document, const std::string& peer)
{
    T value{};
    detail::decode_state state;
    if (!detail::decode_value(document, value, state)) {
        return fail("decode", peer, state.error);
    }
    return value;
}

} // namespace hickorymount::codec
