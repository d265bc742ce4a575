#pragma once

#include "codec/description.h"
#include "session_token/types.h"

namespace hickorymount::codec {

template <>
struct description<session_token::group_position>
{
    using type = session_token::group_position;
    static constexpr std::string_view name = "group_position";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"position", &type::position}};
};

template <>
struct description<session_token::term_start>
{
    using type = session_token::term_start;
    static constexpr std::string_view name = "term_start";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"position", &type::position}};
};

template <>
struct description<session_token::token>
{
    using type = session_token::token;
    static constexpr std::string_view name = "token";
    static constexpr auto members = std::tuple{member{"seen", &type::positions}};
};

} // namespace hickorymount::codec
