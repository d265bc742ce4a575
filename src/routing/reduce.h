#pragma once

#include "routing/read_policy.h"
#include "routing/types.h"

namespace hickorymount::routing {

/// Applies one event on an entry host.
entry_transition reduce(entry_state state, const entry_event& what, const read_policy& policy);

/// True while the entry host can serve: it has a configuration and a lease.
bool is_ready(const entry_state& state, time_point now);

std::string_view to_string(refusal reason);

} // namespace hickorymount::routing
