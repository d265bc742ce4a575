#pragma once

#include "node/types.h"
#include "routing/read_policy.h"

namespace hickorymount::node {

/// The one reducer over all events: a pure function of the state and the event.
/// An event of the other role leaves the state as it is.
node_transition reduce(node_state state, const node_event& what, const routing::read_policy& policy);

} // namespace hickorymount::node
