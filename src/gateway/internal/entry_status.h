#pragma once

#include "configuration/types.h"
#include "http/types.h"
#include "metrics/metric_registry.h"
#include "routing/types.h"

#include <cstddef>
#include <string>

namespace hickorymount::gateway::detail {

/// A response with the given status code and body.
http::response make_response(int status, std::string body);

/// Labels of the metrics that are kept per tenant and class. A class that the configuration lacks, which
/// callers may name as they like, is labeled "unknown".
std::string class_labels(const configuration::configuration& content, const class_name& request_class);

/// Counts a finished request by its outcome.
void count_outcome(metrics::metric_registry& registry, const std::string& labels,
                   const routing::caller_outcome& outcome);

/// Sets the gauges that are derived from the entry host's state.
void set_gauges(metrics::metric_registry& registry, const routing::entry_state& state,
                std::size_t open_requests);

/// The entry host's status as JSON, for operators.
std::string status_document(const routing::entry_state& state, time_point now);

} // namespace hickorymount::gateway::detail
