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
                   member{"stored", &type::stored_data}, member{"seed", &type::seed},
                   member{"limits", &type::limit_bounds}};
};

template <>
struct description<node::peer_message_received>
{
    using type = node::peer_message_received;
    static constexpr std::string_view name = "peer_message";
    static constexpr auto members =
        std::tuple{member{"from", &type::sender}, member{"content", &type::content}};
};

template <>
struct description<node::control_timer_expired>
{
    static constexpr std::string_view name = "control_time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<node::node_event>
{
    using type = node::node_event;
    static constexpr std::string_view name = "node_event";
    static constexpr auto members = std::tuple{member{"now", &type::now}, member{"wall", &type::wall_time},
                                               member{"what", &type::payload}};
};

template <>
struct description<node::send_to_peer>
{
    using type = node::send_to_peer;
    static constexpr std::string_view name = "send_to_peer";
    static constexpr auto members =
        std::tuple{member{"to", &type::recipient}, member{"content", &type::content}};
};

template <>
struct description<node::control_event_payload>
{
    static constexpr std::string_view name = "control";
};

template <>
struct description<routing::entry_event_payload>
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
