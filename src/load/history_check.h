#pragma once

#include "load/types.h"

#include <vector>

namespace hickorymount::load {

/// Checks the answers of the callers against the final history of each group.
check_result check_histories(const std::vector<request_trace>& traces,
                             const std::vector<server_history>& histories, bool is_write_replicated);

/// Returns the median, 99th percentile and maximum of `values`; zeros when `values` is empty.
latency_distribution distribution_of(std::vector<double> values);

/// Counts outcomes and computes latencies. `duration` is the length of the run, for the request rate.
load_summary summarize(const std::vector<request_trace>& traces, milliseconds duration);

/// Returns for each loss the time until another server of the group first acknowledged a write; empty when
/// none did.
std::vector<std::optional<milliseconds>> failover_gaps(const std::vector<request_trace>& traces,
                                                       const std::vector<server_failure>& losses);

} // namespace hickorymount::load
