#pragma once

#include "consensus/types.h"

namespace hickorymount::consensus {

transition reduce(consensus_state state, const event& what);

/// True on a leader that has committed an entry of its own term, so that its directory is current.
bool is_serving(const consensus_state& state);

/// True when a majority has answered a round begun after `round`.
bool is_confirmed_since(const consensus_state& state, round_number round);

log_index last_index(const consensus_state& state);

/// When the next timer_passed is due.
time_point next_wake(const consensus_state& state);

} // namespace hickorymount::consensus
