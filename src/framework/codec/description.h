#pragma once

#include <string_view>
#include <tuple>

namespace hickorymount::codec {

/// Maps a struct member to its name in encoded documents.
template <class Owner, class Member>
struct member
{
    std::string_view name;
    Member Owner::*pointer;
};

template <class Owner, class Member>
member(std::string_view, Member Owner::*) -> member<Owner, Member>;

/// Maps an enumeration value to its name in encoded documents.
template <class Enum>
struct enumerator
{
    std::string_view name;
    Enum value;
};

template <class Enum>
enumerator(std::string_view, Enum) -> enumerator<Enum>;

/// Describes a type to the codec. Specializations define `name` and either `members` (a tuple of `member`)
/// or `enumerators` (a tuple of `enumerator`).
template <class T>
struct description;

template <class T>
concept described_struct = requires
{
    description<T>::members;
};

template <class T>
concept described_enum = requires
{
    description<T>::enumerators;
};

/// Returns the encoded name of an enumeration value; empty when the value is not described.
template <described_enum T>
constexpr std::string_view enumerator_name(T value)
{
    std::string_view name;
    std::apply(
        [&](const auto&... candidate) { ((name = candidate.value == value ? candidate.name : name), ...); },
        description<T>::enumerators);
    return name;
}

} // namespace hickorymount::codec
