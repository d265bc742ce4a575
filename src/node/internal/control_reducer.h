#pragma once

#include "node/types.h"

#include <deque>
#include <vector>

namespace hickorymount::node::detail {

/// Reduces one event of a control host: passes it to consensus or supervision, and passes their effects on
/// to the directory and to each other until only effects for the outside are left.
class control_reducer
{
public:
    control_reducer(control_state state, time_point now, unix_milliseconds wall);

    void apply(const control_started& event);
    void apply(const peer_message_received& event);
    void apply(const consensus::cluster_formation_requested& event);
    void apply(const consensus::contacts_changed& event);
    void apply(const consensus::departure_requested& event);
    void apply(const consensus::sync_completed& event);
    void apply(const control_timer_expired& event);
    void apply(const supervision::configuration_change_requested& event);
    void apply(const supervision::configuration_replacement_requested& event);
    void apply(const supervision::primary_switch_requested& event);
    void apply(const supervision::status_requested& event);
    void apply(const supervision::configuration_requested& event);
    void apply(const supervision::server_report_received& event);
    void apply(const supervision::promotion_response_received& event);

    /// Returns the resulting state and the time of the next timer event. Called once, after the event was
    /// applied.
    std::pair<control_state, time_point> finish();
    /// Returns the effects for the outside. Called after `finish`.
    std::vector<control_effect> release_effects() { return std::move(m_effects); }

private:
    void run_consensus(consensus::event_payload event);
    void run_supervision(const supervision::supervision_event& event);

    void carry_out(consensus::send_message&& effect);
    void carry_out(consensus::persist_log&& effect);
    void carry_out(consensus::persist_snapshot&& effect);
    void carry_out(consensus::apply_entry&& effect);
    void carry_out(consensus::restore_directory&& effect);

    void carry_out(supervision::send_to_entry_host&& effect);
    void carry_out(supervision::send_to_control_host&& effect);
    void carry_out(supervision::propose_command&& effect);
    void carry_out(supervision::request_promotion&& effect);
    void carry_out(supervision::send_operator_response&& effect);
    void carry_out(logging::log_record&& effect);

    void propose_queued_commands();
    /// Sends a refusal to each operator whose command is not yet committed.
    void reject_pending_proposals();
    void compact_log_if_due();
    [[nodiscard]] supervision::supervision_inputs supervision_inputs() const;

    control_state m_state;
    time_point m_now;
    unix_milliseconds m_wall;
    std::vector<control_effect> m_effects;
    std::vector<supervision::propose_command> m_queued_proposals;
};

} // namespace hickorymount::node::detail
