#pragma once

#include "link/peer_transport.h"
#include "metrics/metric_registry.h"
#include "protocol/types.h"

#include <cstddef>

namespace hickorymount::gateway::detail {

/// Counts a message to another process of the system, in total and by its kind.
void count_sent_message(metrics::metric_registry& registry, const protocol::message& content,
                        std::size_t bytes);

/// Sets the gauges of the messages that wait for slow links.
void set_link_gauges(metrics::metric_registry& registry, const link::link_backlog& backlog);

} // namespace hickorymount::gateway::detail
