#pragma once

#include "supervision/types.h"

namespace hickorymount::supervision {

/// Applies one event on a control host. A control host that does not lead tracks the view revision, forwards
/// server reports to the leader and refuses requests other than the status.
supervision_transition reduce(supervision_state state, const supervision_event& event,
                              const supervision_inputs& inputs);

/// The name of the stage in logs and in the status.
std::string_view to_string(primary_change_stage stage);

} // namespace hickorymount::supervision
