#pragma once

#include "directory/types.h"

namespace hickorymount::directory {

/// Applies one agreed command. A command that no longer fits the state changes nothing.
directory_transition reduce(directory_state state, const command& what);

} // namespace hickorymount::directory
