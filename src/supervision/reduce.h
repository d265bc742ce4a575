#pragma once

#include "supervision/types.h"

namespace hickorymount::supervision {

/// Applies one event on a control host. Followers only follow the directory and refuse requests.
supervision_transition reduce(supervision_state state, const supervision_event& what,
                              const surroundings& around);

std::string_view to_string(change_stage stage);

} // namespace hickorymount::supervision
