#include "sessions/internal/queue_order.h"
#include "sessions/internal/queue_pass.h"
#include "sessions/statement_queue.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::sessions {

using detail::look_result;

/// The order in which the queued statements of a group are sent.
class statement_queue_fixture : public ::testing::Test
{
protected:
    static time_point at(std::int64_t ms) { return time_point{milliseconds{ms}}; }

    static queue_place place(session_number session, std::uint32_t priority, std::int64_t received_ms,
                             bool needs_primary, const std::string& customer = "")
    {
        return {{false, priority, needs_primary, "ledger", customer_name{customer}},
                {at(received_ms), session}};
    }

    /// The sessions in the order in which their statements are sent when all connections are free.
    static std::vector<session_number> order_of(statement_queue queue, time_point now)
    {
        std::vector<session_number> order;
        queue.start_pass(now);
        detail::run_queue_pass(queue, now, false, [&](const queue_place& next) {
            order.push_back(next.arrival.session);
            return look_result::sent;
        });
        return order;
    }

    /// Sends up to `count` statements and returns how many each customer got.
    std::map<std::string, int> send(int count, time_point now, bool guarantees_share = false)
    {
        std::map<std::string, int> sent;
        for (int at = 0; at < count; ++at) {
            m_queue.start_pass(now);
            const auto next = m_queue.first(now, guarantees_share);
            if (!next) {
                break;
            }
            ++sent[next->lane.customer.value];
            m_queue.record_sent(*next);
        }
        return sent;
    }

    void add(const std::string& customer, int count, double weight = 1, std::uint32_t priority = 0,
             std::uint32_t customer_priority = 0)
    {
        for (int each = 0; each < count; ++each) {
            const session_number session = m_next_session++;
            queue_place next = place(session, priority, 1000, true, customer);
            next.lane.customer_priority = customer_priority;
            m_queue.insert(next, weight);
        }
    }

    statement_queue m_queue;
    session_number m_next_session = 1;
};

TEST_F(statement_queue_fixture, lanes_of_one_priority_are_merged_by_arrival)
{
    m_queue.insert(place(1, 2, 10, true));
    m_queue.insert(place(2, 2, 20, false));
    m_queue.insert(place(3, 2, 30, true));
    m_queue.insert(place(4, 1, 40, false));
    EXPECT_EQ(order_of(m_queue, at(50)), (std::vector<session_number>{4, 1, 2, 3}));
    EXPECT_EQ(order_of(m_queue, at(1000)), (std::vector<session_number>{4, 3, 2, 1}));
}

TEST_F(statement_queue_fixture, blocked_lane_is_left_out_and_the_others_go_on)
{
    m_queue.insert(place(1, 2, 10, true));
    m_queue.insert(place(2, 2, 20, false));
    m_queue.insert(place(3, 2, 30, true));
    std::vector<session_number> order;
    m_queue.start_pass(at(40));
    detail::run_queue_pass(m_queue, at(40), false, [&](const queue_place& next) {
        order.push_back(next.arrival.session);
        return next.lane.needs_primary ? look_result::blocked : look_result::sent;
    });
    EXPECT_EQ(order, (std::vector<session_number>{1, 2}));
    EXPECT_EQ(m_queue.size(), 2U);
}

TEST_F(statement_queue_fixture, erased_statement_is_not_sent)
{
    m_queue.insert(place(1, 2, 10, true));
    m_queue.insert(place(2, 2, 20, false));
    m_queue.erase(place(1, 2, 10, true));
    m_queue.erase(place(1, 2, 10, true));
    EXPECT_EQ(m_queue.size(), 1U);
    EXPECT_EQ(*m_queue.oldest_arrival(), at(20));
    EXPECT_EQ(order_of(m_queue, at(30)), (std::vector<session_number>{2}));
}

TEST_F(statement_queue_fixture,
       started_transactions_precede_priorities_and_these_precede_customers_priorities)
{
    add("a", 1, 1, 1, 0);
    add("b", 1, 1, 0, 1);
    add("c", 1, 1, 0, 0);
    queue_place started = place(4, 2, 1000, true, "d");
    started.lane.continues_transaction = true;
    m_queue.insert(started);
    EXPECT_EQ(order_of(m_queue, at(1001)), (std::vector<session_number>{4, 3, 2, 1}));
}

/// A customer with seven times its usual demand must not delay others: each of them gets what it asks for
/// before the excess is served.
TEST_F(statement_queue_fixture, customer_with_seven_times_the_demand_delays_only_itself)
{
    add("loud", 700);
    for (const char* name : {"b", "c", "d", "e"}) {
        add(name, 20);
    }
    const auto sent = send(100, at(1001));
    for (const char* name : {"b", "c", "d", "e"}) {
        EXPECT_GE(sent.at(name), 16);
    }
    EXPECT_LE(sent.at("loud"), 24);
}

TEST_F(statement_queue_fixture, backlogged_customers_are_served_in_proportion_to_their_weights)
{
    add("large", 300, 3);
    add("small", 300, 0.5);
    add("usual", 300);
    const auto sent = send(180, at(1001));
    EXPECT_NEAR(sent.at("large"), 120, 12);
    EXPECT_NEAR(sent.at("usual"), 40, 5);
    EXPECT_NEAR(sent.at("small"), 20, 5);
}

/// Without the remembered position, a customer that sends one statement at a time would be served first each
/// time.
TEST_F(statement_queue_fixture, customer_whose_queue_empties_often_gets_no_more_than_its_share)
{
    add("steady", 200);
    int returned = 0;
    for (int at_step = 0; at_step < 100; ++at_step) {
        add("returning", 1);
        m_queue.start_pass(at(1001));
        const queue_place next = *m_queue.first(at(1001), false);
        returned += next.lane.customer.value == "returning" ? 1 : 0;
        m_queue.record_sent(next);
    }
    EXPECT_NEAR(returned, 50, 4);
}

TEST_F(statement_queue_fixture, lower_priority_gets_a_sixteenth_of_the_dispatches_in_a_lasting_overload)
{
    add("high", 400, 1, 0);
    add("low", 400, 1, 2);
    EXPECT_EQ(send(32, at(1001), true)["low"], 0);
    const time_point overloaded = at(1000) + detail::overload_threshold;
    const auto sent = send(320, overloaded, true);
    EXPECT_NEAR(sent.at("low"), 20, 1);
    EXPECT_EQ(send(32, overloaded, false)["low"], 0);
}

TEST_F(statement_queue_fixture, overload_of_one_customer_does_not_reverse_the_order_of_another)
{
    m_queue.insert(place(1, 0, 100, true, "loud"));
    m_queue.insert(place(2, 0, 200, true, "loud"));
    m_queue.insert(place(3, 0, 900, true, "quiet"));
    m_queue.insert(place(4, 0, 950, true, "quiet"));
    EXPECT_EQ(order_of(m_queue, at(1000)), (std::vector<session_number>{2, 1, 3, 4}));
}

TEST_F(statement_queue_fixture, refused_statement_is_not_looked_at_before_its_retry)
{
    m_queue.insert(place(1, 0, 100, true), 1, at(230));
    m_queue.insert(place(2, 0, 150, true));
    EXPECT_EQ(m_queue.size(), 2U);
    EXPECT_EQ(order_of(m_queue, at(229)), (std::vector<session_number>{2}));
    EXPECT_EQ(order_of(m_queue, at(230)), (std::vector<session_number>{1, 2}));
    m_queue.erase(place(1, 0, 100, true));
    EXPECT_EQ(order_of(m_queue, at(230)), (std::vector<session_number>{2}));
}

struct queue_size
{
    int statements;
    int customers;
};

/// The statements that a pass looks at, whatever the number of queued statements and of customers.
class queue_cost_fixture : public statement_queue_fixture, public ::testing::WithParamInterface<queue_size>
{
protected:
    void fill()
    {
        const auto [statements, customers] = GetParam();
        for (int each = 0; each < statements; ++each) {
            add("customer" + std::to_string(each % customers), 1);
        }
        run_pass([](const queue_place&) { return look_result::blocked; });
    }

    template <class Look>
    std::size_t run_pass(Look look)
    {
        m_queue.start_pass(at(1001));
        return detail::run_queue_pass(m_queue, at(1001), false, look);
    }
};

TEST_P(queue_cost_fixture, pass_without_a_free_connection_looks_at_one_statement_of_a_kind)
{
    fill();
    for (int each = 0; each < 10; ++each) {
        EXPECT_EQ(run_pass([](const queue_place&) { return look_result::blocked; }), 1U);
    }
}

/// The customer in question is last in the order: neither it is forgotten, nor are all others looked at.
TEST_P(queue_cost_fixture, freed_connection_of_one_customer_is_found_without_looking_at_the_others)
{
    fill();
    const customer_name last{"customer" + std::to_string(std::min(GetParam().customers, 10) - 1)};
    m_queue.start_pass(at(1001));
    m_queue.unblock_customer(last);
    bool is_free = true;
    session_number served = 0;
    const std::size_t looks = detail::run_queue_pass(m_queue, at(1001), false, [&](const queue_place& next) {
        if (next.lane.customer == last && std::exchange(is_free, false)) {
            served = next.arrival.session;
            return look_result::sent;
        }
        return look_result::blocked;
    });
    EXPECT_NE(served, 0U);
    EXPECT_LE(looks, 4U);
}

/// Connections to other entry hosts serve all customers: as many statements are sent as there are
/// connections, in turn.
TEST_P(queue_cost_fixture, connections_that_serve_all_customers_are_used_at_once)
{
    fill();
    int free_connections = 5;
    const std::size_t looks = run_pass([&](const queue_place&) {
        return free_connections-- > 0 ? look_result::sent : look_result::blocked;
    });
    EXPECT_EQ(m_queue.size(), static_cast<std::size_t>(GetParam().statements - 5));
    EXPECT_LE(looks, 5U + 6U);
}

TEST_P(queue_cost_fixture, waiting_for_one_connection_lets_the_next_customer_open_its_own)
{
    fill();
    std::set<customer_name> opening;
    const std::size_t looks = run_pass([&](const queue_place& next) {
        if (opening.contains(next.lane.customer)) {
            return look_result::awaits_connection;
        }
        if (opening.size() == 2) {
            return look_result::blocked;
        }
        opening.insert(next.lane.customer);
        return look_result::awaits_connection;
    });
    EXPECT_EQ(opening.size(), std::min<std::size_t>(2, static_cast<std::size_t>(GetParam().customers)));
    EXPECT_LE(looks, 3U);
}

INSTANTIATE_TEST_SUITE_P(sizes, queue_cost_fixture,
                         ::testing::Values(queue_size{10, 1}, queue_size{10, 10}, queue_size{100, 1},
                                           queue_size{100, 10}, queue_size{100, 100}, queue_size{1000, 1},
                                           queue_size{1000, 10}, queue_size{1000, 100},
                                           queue_size{1000, 1000}));

} // namespace hickorymount::sessions
