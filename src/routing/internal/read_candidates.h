#pragma once

#include "routing/internal/entry_step.h"
#include "routing/read_policy.h"
#include "routing/types.h"

#include <vector>

namespace hickorymount::routing::detail {

/// What the request's session has to see of its group again.
session::group_position needed_position(const request_state& request);

/// The backend servers that a read might go to now, with what is known of each.
std::vector<read_candidate> read_candidates(const entry_step& step, const request_state& request,
                                            const group_state& group);

} // namespace hickorymount::routing::detail
