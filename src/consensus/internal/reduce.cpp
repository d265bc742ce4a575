#include "consensus/reduce.h"

#include "consensus/internal/consensus_reducer.h"
#include "consensus/internal/quorum.h"

#include <algorithm>
#include <utility>

namespace hickorymount::consensus {

transition reduce(consensus_state state, const event& input)
{
    detail::consensus_reducer reducer(std::move(state), input.now);
    std::visit([&](const auto& content) { reducer.apply(content); }, input.payload);
    return reducer.finish();
}

bool is_ready_leader(const consensus_state& state)
{
    return state.current_role == role::leader && state.term_start_index > 0 &&
           state.commit_index >= state.term_start_index;
}

bool is_leadership_confirmed_since(const consensus_state& state, round_number round)
{
    return state.current_role == role::leader && state.confirmed_heartbeat_round > round;
}

time_point leadership_certain_until(const consensus_state& state)
{
    return state.current_role == role::leader
               ? state.confirmed_round_began_at + election_timeout_min - leadership_margin
               : time_point{};
}

log_index last_index(const consensus_state& state)
{
    if (state.log.empty()) {
        return state.latest_snapshot->last_index;
    }
    // Entries are consecutive, so the last key follows from the first.
    return std::max(state.log.begin()->first + state.log.size() - 1, state.latest_snapshot->last_index);
}

bool has_place_to_hand_over(const consensus_state& state)
{
    const membership& members = state.members;
    if (state.is_excluded) {
        return false;
    }
    if (!detail::is_voter(members, state.self)) {
        // The entry without this host may still be lost with this host.
        return state.membership_index > state.commit_index;
    }
    const std::vector<member> voters = detail::all_voters(members);
    const bool has_spare =
        std::any_of(members.learners.begin(), members.learners.end(), [&](const member& learner) {
            return std::none_of(voters.begin(), voters.end(),
                                [&](const member& voter) { return voter.name == learner.name; });
        });
    return has_spare || members.outgoing_voters;
}

time_point next_timer_at(const consensus_state& state)
{
    if (state.current_role == role::leader) {
        return state.heartbeat_at;
    }
    if (!detail::is_voter(state.members, state.self)) {
        return state.join_at;
    }
    const time_point due = state.is_excluded ? std::min(state.election_at, state.join_at) : state.election_at;
    return state.is_leaving ? std::min(due, state.leave_at) : due;
}

} // namespace hickorymount::consensus
