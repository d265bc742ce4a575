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
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace hickorymount::codec {

using json = nlohmann::json;

/// Bounds on input from the wire, checked before a document is built.
struct input_limits
{
    std::size_t bytes = 0;
    int depth = 0;

    friend bool operator==(const input_limits&, const input_limits&) = default;
};

inline constexpr input_limits caller_input_limits{.bytes = 1 << 20, .depth = 16};
inline constexpr input_limits peer_input_limits{.bytes = 64 << 20, .depth = 32};

/// Parses JSON text within the limits.
result<json> parse_json(std::string_view text, const input_limits& limits, const std::string& peer);

/// Parses CBOR bytes within the limits.
result<json> parse_cbor(std::string_view bytes, const input_limits& limits, const std::string& peer);

std::string to_cbor(const json& document);

namespace detail {

/// Where decoding stands, and the first thing that was wrong.
struct decoding
{
    std::string path;
    std::string problem;

    bool expected(std::string_view what)
    {
        if (problem.empty()) {
            problem = (path.empty() ? std::string("document") : path) + ": expected " + std::string(what);
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

// All overloads are declared first, so that each finds the others whatever the nesting.
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
bool decode_value(const json& from, T& into, decoding& state);
template <class T>
bool decode_value(const json& from, std::optional<T>& into, decoding& state);
template <class T>
bool decode_value(const json& from, shared_value<T>& into, decoding& state);
template <class T>
bool decode_value(const json& from, std::vector<T>& into, decoding& state);
template <class Key, class Value>
bool decode_value(const json& from, std::map<Key, Value>& into, decoding& state);
template <class Key, class Value>
bool decode_value(const json& from, shared_map<Key, Value>& into, decoding& state);
template <class... Alternatives>
bool decode_value(const json& from, std::variant<Alternatives...>& into, decoding& state);

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
bool decode_value(const json& from, std::optional<T>& into, decoding& state)
{
    if (from.is_null()) {
        into.reset();
        return true;
    }
    return decode_value(from, into.emplace(), state);
}

template <class T>
bool decode_value(const json& from, shared_value<T>& into, decoding& state)
{
    T value;
    if (!decode_value(from, value, state)) {
        return false;
    }
    into = shared_value<T>(std::move(value));
    return true;
}

template <class T>
bool decode_value(const json& from, std::vector<T>& into, decoding& state)
{
    if (!from.is_array()) {
        return state.expected("a list");
    }
    into.clear();
    for (const json& item : from) {
        T value{};
        if (!decode_value(item, value, state)) {
            return false;
        }
        into.push_back(std::move(value));
    }
    return true;
}

template <class Key, class Value, class Insert>
bool decode_map(const json& from, decoding& state, Insert insert)
{
    if (!from.is_array()) {
        return state.expected("a list of pairs");
    }
    for (const json& item : from) {
        Key key{};
        Value value{};
        if (!item.is_array() || item.size() != 2) {
            return state.expected("a pair");
        }
        if (!decode_value(item[0], key, state) || !decode_value(item[1], value, state)) {
            return false;
        }
        insert(std::move(key), std::move(value));
    }
    return true;
}

template <class Key, class Value>
bool decode_value(const json& from, std::map<Key, Value>& into, decoding& state)
{
    return decode_map<Key, Value>(
        from, state, [&](Key key, Value value) { into.insert_or_assign(std::move(key), std::move(value)); });
}

template <class Key, class Value>
bool decode_value(const json& from, shared_map<Key, Value>& into, decoding& state)
{
    return decode_map<Key, Value>(from, state, [&](Key key, Value value) {
        into = std::move(into).set(std::move(key), std::move(value));
    });
}

template <class... Alternatives>
bool decode_value(const json& from, std::variant<Alternatives...>& into, decoding& state)
{
    if (!from.is_object() || from.size() != 1) {
        return state.expected("an object with one member that names its kind");
    }
    const std::string& name = from.begin().key();
    bool known = false;
    bool decoded = false;
    const auto attempt = [&]<class Alternative>(std::type_identity<Alternative>) {
        if (known || description<Alternative>::name != name) {
            return;
        }
        known = true;
        Alternative value{};
        decoded = decode_value(from.begin().value(), value, state);
        into = std::move(value);
    };
    (attempt(std::type_identity<Alternatives>{}), ...);
    return known ? decoded : state.expected("a known kind, not '" + name + "'");
}

template <class T>
bool decode_struct(const json& from, T& into, decoding& state)
{
    if (!from.is_object()) {
        return state.expected("an object");
    }
    std::size_t present = 0;
    const auto decode_member = [&](const auto& item) {
        const std::string outer = state.path;
        state.path += (outer.empty() ? "" : ".") + std::string(item.name);
        const auto found = from.find(std::string(item.name));
        bool decoded = true;
        if (found != from.end()) {
            ++present;
            decoded = decode_value(*found, into.*(item.pointer), state);
        } else {
            using type = std::decay_t<decltype(into.*(item.pointer))>;
            constexpr bool may_be_absent = requires(type value)
            {
                value.reset();
            };
            decoded = may_be_absent || state.expected("a value, found none");
        }
        state.path = outer;
        return decoded;
    };
    const bool decoded = std::apply([&](const auto&... items) { return (decode_member(items) && ...); },
                                    description<T>::members);
    if (!decoded) {
        return false;
    }
    return present == from.size() || state.expected("only known members; one is unknown");
}

template <class T>
bool decode_enum(const json& from, T& into, decoding& state)
{
    if (!from.is_string()) {
        return state.expected("a string");
    }
    const auto& name = from.get_ref<const std::string&>();
    bool known = false;
    const auto match = [&](const auto& each) {
        if (each.name == name) {
            into = each.value;
            known = true;
        }
    };
    std::apply([&](const auto&... each) { (match(each), ...); }, description<T>::enumerators);
    return known || state.expected("a known value, not '" + name + "'");
}

template <class T>
bool decode_integer(const json& from, T& into, decoding& state)
{
    if (!from.is_number_integer()) {
        return state.expected("a whole number");
    }
    if constexpr (std::is_unsigned_v<T>) {
        if (!from.is_number_unsigned()) {
            return state.expected("a number that is not negative");
        }
    }
    into = from.get<T>();
    return true;
}

template <class T>
bool decode_value(const json& from, T& into, decoding& state)
{
    if constexpr (described_struct<T>) {
        return decode_struct(from, into, state);
    } else if constexpr (described_enum<T>) {
        return decode_enum(from, into, state);
    } else if constexpr (is_identifier<T>::value) {
        return decode_value(from, into.value, state);
    } else if constexpr (is_duration<T>::value) {
        std::int64_t count = 0;
        const bool decoded = decode_integer(from, count, state);
        into = T{count};
        return decoded;
    } else if constexpr (is_time_point<T>::value) {
        std::int64_t count = 0;
        const bool decoded = decode_integer(from, count, state);
        into = T{typename T::duration{count}};
        return decoded;
    } else if constexpr (std::is_same_v<T, bool>) {
        return from.is_boolean() ? (into = from.get<bool>(), true) : state.expected("true or false");
    } else if constexpr (std::is_same_v<T, std::string>) {
        return from.is_string() ? (into = from.get<std::string>(), true) : state.expected("a string");
    } else if constexpr (std::is_same_v<T, double>) {
        return from.is_number() ? (into = from.get<double>(), true) : state.expected("a number");
    } else {
        static_assert(std::is_integral_v<T>);
        return decode_integer(from, into, state);
    }
}

} // namespace detail

/// The document for a value.
template <class T>
json encode(const T& value)
{
    return detail::encode_value(value);
}

/// The value of a document. Errors: a missing, unknown or mistyped member, with its path.
template <class T>
result<T> decode(const json& document, const std::string& peer)
{
    T value{};
    detail::decoding state;
    if (!detail::decode_value(document, value, state)) {
        return fail("decode", peer, state.problem);
    }
    return value;
}

} // namespace hickorymount::codec
