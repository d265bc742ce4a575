#pragma once

#include "codec/description.h"
#include "session/types.h"

namespace hickorymount::codec {

template <>
struct description<session::group_position>
{
    using type = session::group_position;
    static constexpr std::string_view name = "group_position";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"position", &type::position}};
};

template <>
struct description<session::term_start>
{
    using type = session::term_start;
    static constexpr std::string_view name = "term_start";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"position", &type::position}};
};

template <>
struct description<session::token>
{
    using type = session::token;
    static constexpr std::string_view name = "token";
    static constexpr auto members = std::tuple{member{"seen", &type::seen}};
};

} // namespace hickorymount::codec
