#pragma once

#include "database/types.h"

namespace hickorymount::database {

/// Applies one event to the emulated database.
database_transition reduce(database_state state, const database_event& what);

/// The newest position the database holds, under its term.
group_position position_of(const database_state& state);

} // namespace hickorymount::database
