#pragma once

#include "sessions/types.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// Time before a statement's deadline at which an entry host that runs it for another one ends its own
/// attempt, so that its response arrives there before the deadline. It covers two transmissions between
/// regions (25 ms) and the delays of two busy hosts.
inline constexpr milliseconds max_relay_return_margin{150};

/// The margin for a statement with the time limit: at most an eighth of it.
milliseconds relay_return_margin(milliseconds statement_timeout);

/// The time until the deadline, to be named to the entry host that is sent the statement. Nothing while it is
/// nearly the whole time limit, which that host knows.
std::optional<milliseconds> remaining_time_to_name(const pending_statement& pending, time_point now);

/// When an entry host that received the statement from another one gives up on it.
time_point relayed_deadline(time_point received_at, milliseconds statement_timeout,
                            std::optional<milliseconds> remaining_time);

/// True when another entry host would refuse the statement at once because of its deadline.
bool is_too_late_to_relay(const pending_statement& pending, time_point now);

} // namespace hickorymount::sessions::detail
