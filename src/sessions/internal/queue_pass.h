#pragma once

#include "sessions/statement_queue.h"

#include <cstddef>
#include <functional>

namespace hickorymount::sessions::detail {

/// What became of a queued statement that was looked at.
enum class look_result
{
    sent,
    /// It can't be answered in time, and leaves the queue.
    too_late,
    /// No connection is free, and one is being opened for its customer.
    awaits_connection,
    blocked
};

/// Looks at the statements of a queue in the order in which they are to be sent, until none can be. Returns
/// the number of looks.
///
/// Where statements wait for connections of their own customers, each pass looks at the first customer of
/// each kind, and at the next one for as long as that leads to something. So a pass over many customers whose
/// connections are missing looks at few of them.
std::size_t run_queue_pass(statement_queue& queue, time_point now, bool guarantees_share,
                           const std::function<look_result(const queue_place&)>& look);

} // namespace hickorymount::sessions::detail
