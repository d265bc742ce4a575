#pragma once

#include "sessions/internal/event_context.h"

#include <optional>
#include <string>

namespace hickorymount::sessions::detail {

enum class operation_admission
{
    admitted,
    /// Control may grant this host a quota for the operation soon.
    awaits_quota,
    refused
};

/// Counts the session's next statement as an operation of its customer if it is the first one of an operation
/// that needs a server. Statements that other entry hosts relay were counted there.
operation_admission count_operation(event_context& context, caller_session& session);

/// Counts a queued statement that awaits a quota, if there is one now. It waits for as long as control needs
/// for an answer.
operation_admission count_awaiting_operation(event_context& context, caller_session& session);

/// Records the refusal of an operation. Returns its text, with the time after which to retry.
std::string refuse_operation(event_context& context, const customer_name& customer);

/// Requests a quota for a customer whose first session at this host was opened, so that its first statement
/// is not refused.
void request_first_quota(event_context& context, session_number opened);

/// Applies the limits and quotas of the current view. Returns true if new quotas were granted.
bool update_budgets(event_context& context);

/// What control is told about the customers with a limit.
limits::customer_demands report_demands(event_context& context);

} // namespace hickorymount::sessions::detail
