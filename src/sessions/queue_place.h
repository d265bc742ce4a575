#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace hickorymount::sessions {

using session_number = std::uint64_t;

/// Statements of one lane wait for the same connections: while one of them can't be sent, none of the others
/// can.
struct queue_lane
{
    /// The statement belongs to a transaction that already holds a connection.
    bool continues_transaction = false;
    std::uint32_t priority = 0;
    bool needs_primary = false;
    /// Connections to other entry hosts serve one database each.
    std::string database;
    /// Connections to backend servers serve one customer each.
    customer_name customer{};
    std::uint32_t customer_priority = 0;
    /// Servers that refused the statement or did not answer it, and so are not tried again.
    std::set<backend_server_name> tried_servers{};

    friend auto operator<=>(const queue_lane&, const queue_lane&) = default;
    friend bool operator==(const queue_lane&, const queue_lane&) = default;
};

/// When a queued statement was received, and by which session.
struct statement_arrival
{
    time_point received_at{};
    session_number session = 0;

    friend auto operator<=>(const statement_arrival&, const statement_arrival&) = default;
    friend bool operator==(const statement_arrival&, const statement_arrival&) = default;
};

/// Where a statement waits.
struct queue_place
{
    queue_lane lane;
    statement_arrival arrival;

    friend auto operator<=>(const queue_place&, const queue_place&) = default;
    friend bool operator==(const queue_place&, const queue_place&) = default;
};

} // namespace hickorymount::sessions
