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

/// State, events and effects of one process: a control host or an entry host.
namespace hickorymount::node {

/// A command that was proposed but is not yet committed, and the request that waits for its result.
struct pending_proposal
{
    /// Consensus term of the proposal.
    consensus::log_term term = 0;
    supervision::command_sender sender;

    friend bool operator==(const pending_proposal&, const pending_proposal&) = default;
};

/// State of a control host.
struct control_state
{
    consensus::consensus_state consensus;
    directory::directory_state directory;
    /// Index of the last entry that `directory` reflects.
    consensus::log_index applied_index = 0;
    supervision::supervision_state supervision;
    shared_map<consensus::log_index, pending_proposal> pending_proposals;
    time_point next_supervision_at{};
    /// Bytes of the configuration sources applied since the last snapshot.
    std::size_t applied_configuration_bytes = 0;
    /// Tolerances of the customers' limits, from the settings.
    limits::limit_bounds limit_bounds;

    friend bool operator==(const control_state&, const control_state&) = default;
};

/// State of a control host or of an entry host.
using node_state = std::variant<control_state, routing::entry_state>;

/// The first event of a control host.
struct control_started
{
    host_name name;
    /// Other control hosts, from the settings.
    std::vector<host_name> contacts;
    /// What was read from the data folder.
    consensus::stored_state stored_data;
    /// Seed of the random election timeouts; it must differ between hosts.
    std::uint32_t seed = 0;
    limits::limit_bounds limit_bounds{};

    friend bool operator==(const control_started&, const control_started&) = default;
};

/// A message from another control host or an entry host.
struct peer_message_received
{
    host_name sender;
    protocol::message content;

    friend bool operator==(const peer_message_received&, const peer_message_received&) = default;
};

/// The time `node_transition::next_timer_at` of a control host has come.
struct control_timer_expired
{
    friend bool operator==(const control_timer_expired&, const control_timer_expired&) = default;
};

/// Any event of a control host.
using control_event_payload =
    std::variant<control_started, peer_message_received, consensus::cluster_formation_requested,
                 consensus::contacts_changed, consensus::departure_requested, consensus::sync_completed,
                 control_timer_expired, supervision::configuration_change_requested,
                 supervision::configuration_replacement_requested, supervision::primary_switch_requested,
                 supervision::status_requested, supervision::configuration_requested,
                 supervision::server_report_received, supervision::promotion_response_received>;

/// Any event of a process.
using node_event_payload = std::variant<control_event_payload, routing::entry_event_payload>;

/// An event and the time at which it is reduced.
struct node_event
{
    /// Monotonic clock.
    time_point now{};
    /// Wall clock.
    unix_milliseconds wall_time{0};
    node_event_payload payload;

    friend bool operator==(const node_event&, const node_event&) = default;
};

/// Sends a message to a control host or an entry host.
struct send_to_peer
{
    host_name recipient;
    protocol::message content;

    friend bool operator==(const send_to_peer&, const send_to_peer&) = default;
};

/// Any effect of a control host.
using control_effect =
    std::variant<send_to_peer, consensus::persist_log, consensus::persist_snapshot,
                 supervision::send_operator_response, supervision::request_promotion, logging::log_record>;

/// Any effect of a process.
using node_effect = std::variant<control_effect, routing::entry_effect>;

/// The result of one reduction.
struct node_transition
{
    node_state state;
    std::vector<node_effect> effects;
    /// When the next timer event is due.
    time_point next_timer_at{};

    friend bool operator==(const node_transition&, const node_transition&) = default;
};

} // namespace hickorymount::node
