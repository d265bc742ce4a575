#pragma once

#include "node/types.h"
#include "routing/read_policy.h"

namespace hickorymount::node {

/// The reducer over all events of a process: a pure function of its arguments.
/// An event for the other role (control host or entry host) changes no state and has no effects.
node_transition reduce(node_state state, const node_event& event, const routing::read_policy& policy);

} // namespace hickorymount::node
