#pragma once

#include <string_view>
#include <tuple>

namespace hickorymount::codec {

/// One named member of a struct.
template <class Owner, class Member>
struct member
{
    std::string_view name;
    Member Owner::*pointer;
};

template <class Owner, class Member>
member(std::string_view, Member Owner::*) -> member<Owner, Member>;

/// One named value of an enumeration.
template <class Enum>
struct enumerator
{
    std::string_view name;
    Enum value;
};

template <class Enum>
enumerator(std::string_view, Enum) -> enumerator<Enum>;

/// Names a type and its members for the codec. Specializations give `name` and either `members`
/// (a tuple of `member`) or `enumerators` (a tuple of `enumerator`).
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

/// The name of an enumeration's value; empty for one that is not described.
template <described_enum T>
constexpr std::string_view enumerator_name(T value)
{
    std::string_view name;
    std::apply([&](const auto&... each) { ((name = each.value == value ? each.name : name), ...); },
               description<T>::enumerators);
    return name;
}

} // namespace hickorymount::codec
