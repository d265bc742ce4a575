#pragma once

#include "routing/read_policy.h"
#include "routing/types.h"

namespace hickorymount::routing {

/// Applies one event to the state of an entry host. The function performs no I/O and does not modify its
/// arguments.
entry_transition reduce(entry_state state, const entry_event& event, const read_policy& policy);

/// True while the entry host accepts requests: it has a configuration and a valid lease, and is not draining.
bool is_ready(const entry_state& state, time_point now);

/// The name of the reason, as in responses and logs.
std::string_view to_string(refusal_reason reason);

} // namespace hickorymount::routing
