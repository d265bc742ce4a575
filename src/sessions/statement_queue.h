#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hickorymount::sessions {

using session_number = std::uint64_t;

/// Statements of one lane wait for the same connections: while one of them can't be sent, none of the others
/// can, except for servers that a statement has already tried.
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

    friend bool operator==(const queue_place&, const queue_place&) = default;
};

/// The statements of one group that wait for a connection, in lanes sorted by arrival. Insertion and removal
/// take logarithmic time.
class statement_queue
{
public:
    using lane_map = std::map<queue_lane, std::set<statement_arrival>>;

    void insert(const queue_place& place);
    /// Removes the statement; does nothing if it isn't in the queue.
    void erase(const queue_place& place);

    [[nodiscard]] bool is_empty() const { return m_lanes.empty(); }
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// No lane is empty.
    [[nodiscard]] const lane_map& lanes() const { return m_lanes; }
    /// When the oldest statement was received; nothing if the queue is empty.
    [[nodiscard]] std::optional<time_point> oldest_arrival() const;

    friend bool operator==(const statement_queue&, const statement_queue&) = default;

private:
    lane_map m_lanes;
    std::size_t m_size = 0;
};

} // namespace hickorymount::sessions
