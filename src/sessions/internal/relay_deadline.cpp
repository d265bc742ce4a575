#include "sessions/internal/relay_deadline.h"

#include <algorithm>

namespace hickorymount::sessions::detail {

namespace {

/// A statement that has waited for less than this is sent without its remaining time: the margin covers the
/// difference, and most messages stay short.
constexpr milliseconds unnamed_wait{10};

} // namespace

milliseconds relay_return_margin(milliseconds statement_timeout)
{
    return std::min(max_relay_return_margin, statement_timeout / 8);
}

std::optional<milliseconds> remaining_time_to_name(const pending_statement& pending, time_point now)
{
    const milliseconds remaining = pending.deadline - now;
    const bool has_waited = remaining + unnamed_wait < pending.route.statement_timeout;
    return has_waited ? std::optional(std::max(remaining, milliseconds{0})) : std::nullopt;
}

time_point relayed_deadline(time_point received_at, milliseconds statement_timeout,
                            std::optional<milliseconds> remaining_time)
{
    const milliseconds available = std::min(remaining_time.value_or(statement_timeout), statement_timeout);
    return received_at + available - relay_return_margin(statement_timeout);
}

bool is_too_late_to_relay(const pending_statement& pending, time_point now)
{
    return now + send_margin + relay_return_margin(pending.route.statement_timeout) >= pending.deadline;
}

} // namespace hickorymount::sessions::detail
