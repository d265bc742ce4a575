#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions {

/// A pure function of the state and the event.
transition reduce(session_state state, const event& what);

} // namespace hickorymount::sessions
