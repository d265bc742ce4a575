#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// Returned when there is nothing to check.
inline constexpr time_point no_check = time_point::max();

/// When the session's statement has to be checked next: its deadline, its retry, or a response that is
/// overdue. `relay` is the load of the entry host that runs the statement for this one, or null.
time_point next_statement_check(const pending_statement& pending, const server_load* relay, time_point now);

/// When the connection has to be checked next for a response that is overdue.
time_point next_connection_check(const server_connection& connection);

/// Why the connection counts as lost at `now`; null while it doesn't.
const char* overdue_reason(const server_connection& connection, time_point now);

} // namespace hickorymount::sessions::detail
