#pragma once

#include "database/types.h"

namespace hickorymount::database {

/// Applies an event to the emulated database. Returns the new state, the effects to carry out and the time of
/// the next timer event.
database_transition reduce(database_state state, const database_event& event);

/// The position of the newest log record, in the database's present term.
group_position current_position(const database_state& state);

} // namespace hickorymount::database
