#include "sessions/internal/next_check.h"

#include <algorithm>

namespace hickorymount::sessions::detail {

namespace {

time_point next_direct_check(const pending_statement& pending, time_point now)
{
    for (const milliseconds limit :
         {read_retry_delay, primary_suspicion_timeout, relay_silence_timeout, stalled_commit_timeout}) {
        if (pending.sent_at + limit > now) {
            return std::min(pending.sent_at + limit, pending.deadline);
        }
    }
    return pending.deadline;
}

time_point next_relay_check(const pending_statement& pending, const server_load& relay, time_point now)
{
    const time_point silent_at = std::max(pending.sent_at, relay.last_response_at) + relay_silence_timeout;
    return std::min(silent_at > now ? silent_at : std::max(relay.avoid_until, now), pending.deadline);
}

} // namespace

time_point next_statement_check(const pending_statement& pending, const server_load* relay, time_point now)
{
    switch (pending.stage) {
    case statement_stage::queued: {
        const time_point too_late_at = pending.deadline - send_margin;
        return pending.retry_at > now ? std::min(pending.retry_at, too_late_at) : too_late_at;
    }
    case statement_stage::preparing:
        return pending.deadline - send_margin;
    case statement_stage::running:
        return relay == nullptr ? next_direct_check(pending, now) : next_relay_check(pending, *relay, now);
    }
    return no_check;
}

time_point next_connection_check(const server_connection& connection)
{
    switch (connection.stage) {
    case connection_stage::opening:
        return connection.opened_at + (connection.is_relay ? relay_connect_timeout : connect_timeout);
    case connection_stage::preparing:
    case connection_stage::rolling_back:
        return connection.sent_at + internal_statement_timeout;
    case connection_stage::running:
        return connection.holder == 0 ? connection.sent_at + 2 * internal_statement_timeout : no_check;
    case connection_stage::idle:
    case connection_stage::reserved:
        return no_check;
    }
    return no_check;
}

const char* overdue_reason(const server_connection& connection, time_point now)
{
    if (now < next_connection_check(connection)) {
        return nullptr;
    }
    switch (connection.stage) {
    case connection_stage::opening:
        return "not connected in time";
    case connection_stage::running:
        return "no answer after the caller had left";
    default:
        return "no answer to the proxy's own statement";
    }
}

} // namespace hickorymount::sessions::detail
