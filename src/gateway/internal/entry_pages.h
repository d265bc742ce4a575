#pragma once

#include "http/types.h"
#include "metrics/metric_registry.h"
#include "routing/types.h"

#include <cstddef>
#include <string>

namespace hickorymount::gateway::detail {

http::response plain_page(int status, std::string body);

/// Labels of the metrics kept for each tenant and class.
std::string class_labels(const std::string& tenant, const std::string& class_of_request);

void count_outcome(metrics::metric_registry& into, const std::string& labels,
                   const routing::caller_outcome& outcome);

/// Sets the gauges that follow from the entry host's state.
void set_gauges(metrics::metric_registry& into, const routing::entry_state& state, std::size_t open_calls);

/// What the entry host knows, as JSON for operators.
std::string status_page(const routing::entry_state& state, time_point now);

} // namespace hickorymount::gateway::detail
