#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions {

/// Applies one event to the state. It is a pure function: all side effects are returned as data.
transition reduce(session_state state, const event& incoming);

} // namespace hickorymount::sessions
