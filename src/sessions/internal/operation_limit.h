#pragma once

#include "sessions/internal/event_context.h"

#include <optional>
#include <string>

namespace hickorymount::sessions::detail {

/// Counts the session's next statement as an operation of its customer if it is the first one of an operation
/// that needs a server. Returns the time after which to retry if the customer's limit is reached. Statements
/// that other entry hosts relay were counted there.
std::optional<milliseconds> count_operation(event_context& context, caller_session& session);

/// The text of a refusal.
std::string describe_limit(milliseconds retry_after);

/// Requests a quota for a customer whose first session at this host was opened, so that its first statement
/// is not refused.
void request_first_quota(event_context& context, session_number opened);

/// Applies the limits and quotas of the current view. Returns true if new quotas were granted.
bool update_budgets(event_context& context);

/// What control is told about the customers with a limit.
limits::customer_demands report_demands(event_context& context);

} // namespace hickorymount::sessions::detail
