#include "gateway/internal/link_metrics.h"

#include "metrics/labels.h"
#include "protocol/message_codec.h"

namespace hickorymount::gateway::detail {

void count_sent_message(metrics::metric_registry& registry, const protocol::message& content,
                        std::size_t bytes)
{
    const std::string kind = metrics::labels({{"kind", protocol::kind_of(content)}});
    registry.count("hickorymount_control_bytes_sent_total", "", bytes);
    registry.count("hickorymount_control_message_bytes_total", kind, bytes);
    registry.count("hickorymount_control_messages_total", kind);
}

void set_link_gauges(metrics::metric_registry& registry, const link::link_backlog& backlog)
{
    registry.set("hickorymount_link_queued_bytes", "", static_cast<double>(backlog.queued_bytes));
    registry.set("hickorymount_link_largest_queue_bytes", "",
                 static_cast<double>(backlog.largest_queue_bytes));
    registry.set("hickorymount_link_longest_wait_ms", "", static_cast<double>(backlog.longest_wait.count()));
}

} // namespace hickorymount::gateway::detail
