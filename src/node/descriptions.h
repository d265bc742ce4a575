#pragma once

#include "codec/description.h"
#include "consensus/descriptions.h"
#include "node/types.h"
#include "protocol/descriptions.h"
#include "routing/descriptions.h"
#include "supervision/descriptions.h"

namespace hickorymount::codec {

template <>
struct description<node::control_started>
{
    using type = node::control_started;
    static constexpr std::string_view name = "control_started";
    static constexpr auto members =
        std::tuple{member{"name", &type::name}, member{"contacts", &type::contacts},
                   member{"stored", &type::stored}, member{"seed", &type::seed}};
};

template <>
struct description<node::peer_message>
{
    using type = node::peer_message;
    static constexpr std::string_view name = "peer_message";
    static constexpr auto members =
        std::tuple{member{"from", &type::from}, member{"content", &type::content}};
};

template <>
struct description<node::control_time_passed>
{
    static constexpr std::string_view name = "control_time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<node::node_event>
{
    using type = node::node_event;
    static constexpr std::string_view name = "node_event";
    static constexpr auto members =
        std::tuple{member{"now", &type::now}, member{"wall", &type::wall}, member{"what", &type::what}};
};

template <>
struct description<node::send_to_peer>
{
    using type = node::send_to_peer;
    static constexpr std::string_view name = "send_to_peer";
    static constexpr auto members = std::tuple{member{"to", &type::to}, member{"content", &type::content}};
};

template <>
struct description<node::control_event_kind>
{
    static constexpr std::string_view name = "control";
};

template <>
struct description<routing::entry_event_kind>
{
    static constexpr std::string_view name = "entry";
};

template <>
struct description<node::control_effect>
{
    static constexpr std::string_view name = "control";
};

template <>
struct description<routing::entry_effect>
{
    static constexpr std::string_view name = "entry";
};

} // namespace hickorymount::codec
