#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// A statement in the queue for a connection.
struct queued_statement
{
    session_number session = 0;
    /// The statement belongs to a transaction that already holds a connection.
    bool continues_transaction = false;
    std::uint32_t priority = 0;
    time_point received_at{};

    friend bool operator==(const queued_statement&, const queued_statement&) = default;
};

/// Queue order during normal load and short bursts: started transactions first, because an aborted one has
/// wasted the slots it used; then by priority; then the oldest first.
bool precedes(const queued_statement& left, const queued_statement& right);

/// The queue counts as overloaded when its oldest statement has waited this long; shorter waits are bursts.
inline constexpr milliseconds overload_threshold{250};

/// Queue order during a lasting overload: like `precedes`, but the newest first. With the oldest first, each
/// statement would be sent just before its deadline, and most responses would come too late. With the newest
/// first, those that are sent are answered in time, and the others are refused as they would be anyway.
bool precedes_in_overload(const queued_statement& left, const queued_statement& right);
/// True when the queue's oldest statement has waited for so long that there is more work than capacity.
bool is_overloaded(milliseconds oldest_wait);

/// True when a queued statement can't be answered before its deadline any more, so that it is refused at
/// once.
bool is_too_late(const pending_statement& waiting, time_point now);

} // namespace hickorymount::sessions::detail
