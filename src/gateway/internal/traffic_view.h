#pragma once

#include "routing/types.h"
#include "sessions/traffic_view.h"

namespace hickorymount::gateway::detail {

/// The part of the control thread's state that the traffic thread decides by.
sessions::traffic_view traffic_view_of(const routing::entry_state& state);

} // namespace hickorymount::gateway::detail
