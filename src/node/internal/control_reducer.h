#pragma once

#include "node/types.h"

#include <deque>
#include <vector>

namespace hickorymount::node::detail {

/// One step of a control host: passes events between the log, the directory and supervision until
/// nothing is left to do.
class control_reducer
{
public:
    control_reducer(control_state state, time_point now, unix_milliseconds wall);

    void apply(const control_started& what);
    void apply(const peer_message& what);
    void apply(const consensus::formed& what);
    void apply(const consensus::contacts_named& what);
    void apply(const consensus::synced& what);
    void apply(const control_time_passed& what);
    void apply(const supervision::configuration_asked& what);
    void apply(const supervision::replacement_asked& what);
    void apply(const supervision::switch_asked& what);
    void apply(const supervision::status_asked& what);
    void apply(const supervision::configuration_shown& what);
    void apply(const supervision::server_announced& what);
    void apply(const supervision::promotion_answered& what);

    /// The state made, and when it wants to be woken.
    std::pair<control_state, time_point> finish();
    std::vector<control_effect> take_effects() { return std::move(m_effects); }

private:
    void run_consensus(consensus::event_kind what);
    void run_supervision(const supervision::supervision_event& what);

    void carry_out(consensus::send_message&& effect);
    void carry_out(consensus::persist_log&& effect);
    void carry_out(consensus::persist_snapshot&& effect);
    void carry_out(consensus::apply_entry&& effect);
    void carry_out(consensus::replace_directory&& effect);

    void carry_out(supervision::send_to_entry&& effect);
    void carry_out(supervision::send_to_control_host&& effect);
    void carry_out(supervision::propose&& effect);
    void carry_out(supervision::order_promotion&& effect);
    void carry_out(supervision::answer_operator&& effect);
    void carry_out(logging::log_record&& effect);

    void propose_collected();
    void drop_callers();
    void compact_if_due();
    [[nodiscard]] supervision::surroundings surroundings() const;

    control_state m_state;
    time_point m_now;
    unix_milliseconds m_wall;
    std::vector<control_effect> m_effects;
    std::vector<supervision::propose> m_proposals;
};

} // namespace hickorymount::node::detail
