#pragma once

#include "base/identifier.h"
#include "sessions/queue_place.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hickorymount::sessions {

/// Statements of one kind need the same servers and relays.
struct queue_kind
{
    bool needs_primary = false;
    std::string database;
    std::set<backend_server_name> tried_servers;

    friend auto operator<=>(const queue_kind&, const queue_kind&) = default;
    friend bool operator==(const queue_kind&, const queue_kind&) = default;
};

/// The statements of one priority. Its customers take turns in proportion to their weights: each statement
/// sent advances its customer's position by the inverse of the weight, and the customer in the lowest round
/// of positions is next (start-time fair queueing). A customer keeps its turn for a whole round, since a
/// change of the customer may cost a new connection to the server.
class customer_rotation
{
public:
    void insert(const queue_place& place, double weight);
    /// Returns false if the statement isn't here.
    bool erase(const queue_place& place);

    [[nodiscard]] bool is_empty() const { return m_customers.empty(); }
    [[nodiscard]] bool has_unblocked() const { return !m_unblocked.empty(); }
    [[nodiscard]] std::size_t count(bool needs_primary) const { return m_counts[needs_primary ? 1 : 0]; }

    /// The customer whose turn it is among those with unblocked lanes.
    [[nodiscard]] const customer_name& first_customer() const { return m_unblocked.begin()->second; }
    /// The customer's first statement of its unblocked lanes.
    [[nodiscard]] queue_place first_of(const customer_name& customer, bool serves_newest) const;
    void charge(const customer_name& customer);

    /// Forgets which lanes were unblocked one by one, and unblocks the first of each kind.
    void start_pass();
    void block(const queue_lane& lane);
    void unblock_next(const queue_lane& lane);
    void unblock_customer(const customer_name& customer);

    /// The number of statements that precede the customer's statement at the arrival, separately for those
    /// that need the primary (second) and the others (first).
    [[nodiscard]] std::pair<double, double>
    count_ahead(const customer_name& customer, const statement_arrival& arrival, bool serves_newest) const;

    /// When the last statement was sent, as a count of the queue's statements.
    std::uint64_t last_sent = 0;

    friend bool operator==(const customer_rotation&, const customer_rotation&) = default;

private:
    /// A round of positions, and a customer in it.
    using turn = std::pair<std::int64_t, customer_name>;

    struct waiting_lane
    {
        /// The first statement's lane, with what all of them have in common.
        queue_lane common;
        std::set<statement_arrival> arrivals;
        bool is_blocked = false;

        friend bool operator==(const waiting_lane&, const waiting_lane&) = default;
    };

    struct waiting_customer
    {
        std::map<queue_kind, waiting_lane> lanes;
        std::size_t unblocked_lanes = 0;
        std::size_t statements = 0;
        double weight = 1;
        double position = 0;

        friend bool operator==(const waiting_customer&, const waiting_customer&) = default;
    };

    struct blocked_kind
    {
        std::set<turn> turns;
        /// The last one that was unblocked in this pass.
        std::optional<turn> probed;

        friend bool operator==(const blocked_kind&, const blocked_kind&) = default;
    };

    static queue_kind kind_of(const queue_lane& lane);
    static turn turn_of(const customer_name& name, const waiting_customer& customer);
    void set_blocked(const customer_name& name, const queue_kind& kind, bool is_blocked);
    void move_to(const customer_name& name, waiting_customer& customer, double position);
    void forget_passed_positions();

    std::map<customer_name, waiting_customer> m_customers;
    std::set<turn> m_unblocked;
    std::map<queue_kind, blocked_kind> m_blocked;
    /// Positions of customers without statements that are ahead of the current one.
    std::map<customer_name, double> m_left_positions;
    /// Position of the customer that was served last.
    double m_position = 0;
    double m_total_weight = 0;
    /// Statements that any server can run, and those that need the primary.
    std::size_t m_counts[2] = {0, 0};
};

} // namespace hickorymount::sessions
