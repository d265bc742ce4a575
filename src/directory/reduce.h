#pragma once

#include "directory/types.h"

namespace hickorymount::directory {

/// Applies one committed command. A command that does not match the current state changes nothing.
directory_transition reduce(directory_state state, const command& committed);

} // namespace hickorymount::directory
