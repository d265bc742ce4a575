#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "sessions/customer_rotation.h"
#include "sessions/queue_place.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hickorymount::sessions {

/// Order among the statements of a queue before fairness among customers: started transactions, then the
/// route's priority, then the customer's.
struct queue_class
{
    /// False for statements of transactions that already hold a connection.
    bool starts_work = true;
    std::uint32_t priority = 0;
    std::uint32_t customer_priority = 0;

    friend auto operator<=>(const queue_class&, const queue_class&) = default;
    friend bool operator==(const queue_class&, const queue_class&) = default;
};

/// Number of queued statements that precede a statement.
struct work_ahead
{
    /// Statements that need the primary.
    double for_primary = 0;
    double for_any_server = 0;

    friend bool operator==(const work_ahead&, const work_ahead&) = default;
};

/// The statements of one group that wait for a connection, and the order in which they are sent. Every
/// operation takes logarithmic time in the number of statements and customers.
///
/// A pass over the queue looks at `first`, and either removes it (`record_sent`, `erase`) or blocks its lane,
/// until nothing is left. Blocked lanes are not looked at in later passes, except the first one of each kind
/// and those of customers for which a connection may be free.
class statement_queue
{
public:
    /// Adds a statement that is not sent before `ready_at`. `weight` is its customer's share of the
    /// dispatches relative to other customers.
    void insert(const queue_place& place, double weight = 1, time_point ready_at = {});
    /// Removes the statement; does nothing if it isn't in the queue.
    void erase(const queue_place& place);

    [[nodiscard]] bool is_empty() const { return m_arrivals.empty(); }
    [[nodiscard]] std::size_t size() const { return m_arrivals.size(); }
    /// The number of statements that need the primary, or that any server can run, without those that wait
    /// for their retry.
    [[nodiscard]] std::size_t count(bool needs_primary) const;
    /// When the oldest statement was received; nothing if the queue is empty.
    [[nodiscard]] std::optional<time_point> oldest_arrival() const;
    /// Up to `count` sessions, those of the oldest statements first.
    [[nodiscard]] std::vector<session_number> oldest_sessions(std::size_t count) const;

    /// Starts a pass: adds the statements whose retry is due, and unblocks the first lane of each kind.
    void start_pass(time_point now);
    void unblock_customer(const customer_name& customer);
    /// The statement to be looked at next; nothing if all lanes are blocked or empty. If
    /// `guarantees_share` is set, a low priority gets one of 16 dispatches in a lasting overload.
    [[nodiscard]] std::optional<queue_place> first(time_point now, bool guarantees_share) const;
    /// Removes a statement that was sent, and charges it to its customer.
    void record_sent(const queue_place& place);
    /// Leaves out the lane until it is unblocked.
    void block(const queue_lane& lane);
    /// Unblocks the next lane of the same kind that has not been unblocked in this pass.
    void unblock_next(const queue_lane& lane);

    /// The statements that precede the one at the place, as the order is now.
    [[nodiscard]] work_ahead count_ahead(const queue_place& place, time_point now) const;

    friend bool operator==(const statement_queue&, const statement_queue&) = default;

private:
    struct retry
    {
        time_point ready_at{};
        queue_place place;
        double weight = 1;

        friend auto operator<=>(const retry&, const retry&) = default;
        friend bool operator==(const retry&, const retry&) = default;
    };

    void add_to_rotation(const queue_place& place, double weight);
    [[nodiscard]] bool serves_newest(const customer_name& customer, time_point now) const;

    std::map<queue_class, customer_rotation> m_classes;
    std::set<retry> m_retries;
    std::map<queue_place, time_point> m_retry_times;
    std::set<statement_arrival> m_arrivals;
    std::map<customer_name, std::set<statement_arrival>> m_arrivals_by_customer;
    /// Number of statements sent so far.
    std::uint64_t m_sent = 0;
    /// Dispatches since the last one of a lower priority while a higher one was waiting.
    std::uint32_t m_sent_since_share = 0;
};

} // namespace hickorymount::sessions
