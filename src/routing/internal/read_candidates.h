#pragma once

#include "routing/internal/event_context.h"
#include "routing/read_policy.h"
#include "routing/types.h"

#include <vector>

namespace hickorymount::routing::detail {

/// The minimum log position that the request's session requires of its group.
session_token::group_position required_position(const request_state& request);

/// The backend servers that may run the read now.
std::vector<read_candidate> read_candidates(const event_context& context, const request_state& request,
                                            const group_state& group);

} // namespace hickorymount::routing::detail
