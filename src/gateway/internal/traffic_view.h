#pragma once

#include "routing/types.h"
#include "sessions/traffic_view.h"

namespace hickorymount::gateway::detail {

/// Copies the part of the control thread's state that the traffic thread needs for its decisions.
sessions::traffic_view make_traffic_view(const routing::entry_state& state);

} // namespace hickorymount::gateway::detail
