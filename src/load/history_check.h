#pragma once

#include "load/types.h"

#include <vector>

namespace hickorymount::load {

/// Compares what callers were told with the histories that the groups ended up with.
check_result check_histories(const std::vector<request_trace>& traces,
                             const std::vector<server_history>& histories, bool is_write_replicated);

/// Median, 99th percentile and greatest of some values; zeros for none.
distribution distribution_of(std::vector<double> values);

load_summary summarize(const std::vector<request_trace>& traces, milliseconds duration);

/// From each loss to the first write of the group that another server acknowledged; nothing when none did.
std::vector<std::optional<milliseconds>> failover_gaps(const std::vector<request_trace>& traces,
                                                       const std::vector<server_loss>& losses);

} // namespace hickorymount::load
