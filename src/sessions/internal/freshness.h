#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// Adds a sample, and drops those that no read can use any more.
void add_sample(std::deque<position_sample>& samples, const position_sample& taken, time_point now);

/// The lowest known position that covers every commit acknowledged before `moment`; nothing when no sample
/// is late enough. A sample covers what was acknowledged before its question was sent.
std::optional<group_position> position_covering(const std::deque<position_sample>& samples,
                                                time_point moment);

} // namespace hickorymount::sessions::detail
