#pragma once

#include "base/millisecond_clock.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "logging/types.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "supervision/types.h"

#include <cstdint>
#include <variant>
#include <vector>

/// The whole state of one process, and everything that can happen to it.
namespace hickorymount::node {

/// A proposed command's caller, kept until the command is committed.
struct pending_caller
{
    consensus::log_term term = 0;
    supervision::command_caller caller;

    friend bool operator==(const pending_caller&, const pending_caller&) = default;
};

struct control_state
{
    consensus::consensus_state consensus;
    directory::directory_state directory;
    supervision::supervision_state supervision;
    shared_map<consensus::log_index, pending_caller> callers;
    time_point supervise_at{};
    /// Size of the configurations applied since the last snapshot.
    std::size_t applied_bytes = 0;

    friend bool operator==(const control_state&, const control_state&) = default;
};

/// A control host or an entry host.
using node_state = std::variant<control_state, routing::entry_state>;

struct control_started
{
    host_name name;
    std::vector<host_name> contacts;
    consensus::stored_state stored;
    std::uint32_t seed = 0;

    friend bool operator==(const control_started&, const control_started&) = default;
};

struct peer_message
{
    host_name from;
    protocol::message content;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

struct control_time_passed
{
    friend bool operator==(const control_time_passed&, const control_time_passed&) = default;
};

using control_event_kind =
    std::variant<control_started, peer_message, consensus::formed, consensus::contacts_named,
                 consensus::synced, control_time_passed, supervision::configuration_asked,
                 supervision::replacement_asked, supervision::switch_asked, supervision::status_asked,
                 supervision::configuration_shown, supervision::server_announced,
                 supervision::promotion_answered>;

using node_event_kind = std::variant<control_event_kind, routing::entry_event_kind>;

struct node_event
{
    time_point now{};
    unix_milliseconds wall{0};
    node_event_kind what;

    friend bool operator==(const node_event&, const node_event&) = default;
};

/// Sends to one process.
struct send_to_peer
{
    host_name to;
    protocol::message content;

    friend bool operator==(const send_to_peer&, const send_to_peer&) = default;
};

using control_effect =
    std::variant<send_to_peer, consensus::persist_log, consensus::persist_snapshot,
                 supervision::answer_operator, supervision::order_promotion, logging::log_record>;

using node_effect = std::variant<control_effect, routing::entry_effect>;

struct node_transition
{
    node_state state;
    std::vector<node_effect> effects;
    /// When the next event of passing time is due.
    time_point wake_at{};

    friend bool operator==(const node_transition&, const node_transition&) = default;
};

} // namespace hickorymount::node
