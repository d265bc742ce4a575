#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// Adds a sample and removes those that are too old for any read.
void add_sample(std::deque<position_sample>& samples, const position_sample& sample, time_point now);

/// The lowest known position that includes every commit acknowledged before `time`; empty when no sample is
/// late enough. A sample covers the commits acknowledged before its statement was sent.
std::optional<group_position> position_covering(const std::deque<position_sample>& samples, time_point time);

} // namespace hickorymount::sessions::detail
