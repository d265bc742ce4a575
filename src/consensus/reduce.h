#pragma once

#include "consensus/types.h"

namespace hickorymount::consensus {

/// Applies one event. Performs no input or output; the effects are for the caller to execute.
transition reduce(consensus_state state, const event& input);

/// True on a leader that has committed an entry of its own term: its directory then contains every entry that
/// earlier leaders committed.
bool is_ready_leader(const consensus_state& state);

/// True on a leader when a majority of the voters has responded in a heartbeat round begun after `round`, so
/// that this host was still the leader when that round began (ReadIndex, Ongaro's dissertation, section 6.4).
bool is_leadership_confirmed_since(const consensus_state& state, round_number round);

/// Until when no other host can have been elected: a majority has acknowledged a heartbeat, and none of its
/// hosts votes for `election_timeout_min` after that (Ongaro's dissertation, section 6.4.1). In the past
/// unless this host leads.
time_point leadership_certain_until(const consensus_state& state);

/// Index of the last entry in the log, or of the snapshot when the log is empty.
log_index last_index(const consensus_state& state);

/// True if a host that is about to stop would leave its place empty although a learner could take it. It then
/// does better to wait a moment.
bool has_place_to_hand_over(const consensus_state& state);

/// When the next `timer_expired` is due.
time_point next_timer_at(const consensus_state& state);

} // namespace hickorymount::consensus
