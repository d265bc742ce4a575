#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// Starts to log the statements sent to the primaries about which the current view differs from `before`: all
/// known ones after the lease was lost and granted again, otherwise those whose term was opened or closed.
void start_primary_use_traces(session_state& state, const traffic_view& before, time_point now);

} // namespace hickorymount::sessions::detail
