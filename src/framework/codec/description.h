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

} // namespace hickorymount::codec
