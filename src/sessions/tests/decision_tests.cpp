#include "sessions/concurrency_limit.h"
#include "sessions/internal/position_samples.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/read_ranking.h"
#include "sessions/internal/response_action.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::sessions::detail {

namespace {

struct response_action_case
{
    statement_scope scope;
    std::optional<response_code> code;
    bool is_transaction_open;
    response_action expected;
};

} // namespace

class response_action_fixture : public ::testing::TestWithParam<response_action_case>
{
};

TEST_P(response_action_fixture, response_to_a_sent_statement_leads_to_one_action)
{
    const response_action_case& row = GetParam();
    EXPECT_EQ(choose_action(row.scope, row.code, row.is_transaction_open), row.expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, response_action_fixture,
    ::testing::Values(response_action_case{statement_scope::single_read, response_code::done, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::single_read, response_code::busy, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_read, response_code::lagging, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_read, response_code::failed, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_read, std::nullopt, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_write, response_code::done, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::single_write, response_code::busy, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_write, response_code::read_only, false,
                                           response_action::try_another_server},
                      response_action_case{statement_scope::single_write, response_code::failed, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::single_write, response_code::timed_out, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::single_write, std::nullopt, false,
                                           response_action::report_outcome_unknown},
                      response_action_case{statement_scope::in_transaction, response_code::done, true,
                                           response_action::forward_response},
                      response_action_case{statement_scope::in_transaction, response_code::busy, true,
                                           response_action::retry_on_same_connection},
                      response_action_case{statement_scope::in_transaction, response_code::busy, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::in_transaction, response_code::failed, true,
                                           response_action::forward_response},
                      response_action_case{statement_scope::in_transaction, std::nullopt, false,
                                           response_action::report_aborted},
                      response_action_case{statement_scope::commit_of_reads, std::nullopt, false,
                                           response_action::report_aborted},
                      response_action_case{statement_scope::commit_of_writes, response_code::busy, true,
                                           response_action::retry_on_same_connection},
                      response_action_case{statement_scope::commit_of_writes, response_code::timed_out, false,
                                           response_action::forward_response},
                      response_action_case{statement_scope::commit_of_writes, std::nullopt, false,
                                           response_action::report_outcome_unknown}));

class position_sample_fixture : public ::testing::Test
{
protected:
    static time_point at(int ms) { return time_point{milliseconds{ms}}; }

    std::deque<position_sample> m_samples;
};

TEST_F(position_sample_fixture, position_is_the_lowest_whose_statement_was_sent_late_enough)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(1010));
    add_sample(m_samples, {at(2000), {1, 20}}, at(2010));
    EXPECT_EQ(position_covering(m_samples, at(900)), (group_position{1, 10}));
    EXPECT_EQ(position_covering(m_samples, at(1001)), (group_position{1, 20}));
}

TEST_F(position_sample_fixture, time_after_the_last_sample_is_not_covered)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(5000));
    EXPECT_FALSE(position_covering(m_samples, at(1001)));
}

TEST_F(position_sample_fixture, old_samples_are_removed_and_close_ones_not_added)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(1000));
    add_sample(m_samples, {at(1001), {1, 11}}, at(1001));
    EXPECT_EQ(m_samples.size(), 1U);
    add_sample(m_samples, {at(60'000), {1, 90}}, at(60'000));
    EXPECT_EQ(m_samples.size(), 1U);
}

class read_ranking_fixture : public ::testing::Test
{
protected:
    static read_candidate server(const char* name, bool is_primary, bool is_in_own_zone,
                                 std::uint32_t in_flight)
    {
        return {backend_server_name{name}, is_primary, is_in_own_zone, in_flight, 20, false};
    }

    static std::vector<std::string> names(const std::vector<read_candidate>& servers)
    {
        std::vector<std::string> found;
        for (const read_candidate& each : servers) {
            found.push_back(each.name.value);
        }
        return found;
    }
};

TEST_F(read_ranking_fixture, replica_of_the_own_zone_is_ranked_first)
{
    EXPECT_EQ(names(rank_read_servers({server("primary", true, false, 0), server("far", false, false, 0),
                                       server("near", false, true, 0)})),
              (std::vector<std::string>{"near", "far", "primary"}));
}

TEST_F(read_ranking_fixture, busy_server_is_ranked_after_an_idle_one)
{
    EXPECT_EQ(names(rank_read_servers({server("near", false, true, 3), server("far", false, false, 0)})),
              (std::vector<std::string>{"far", "near"}));
}

TEST_F(read_ranking_fixture, server_that_recently_refused_is_ranked_last)
{
    read_candidate refused = server("near", false, true, 0);
    refused.is_avoided = true;
    EXPECT_EQ(names(rank_read_servers({refused, server("primary", true, false, 2)})),
              (std::vector<std::string>{"primary", "near"}));
}

class queue_order_fixture : public ::testing::Test
{
protected:
    static time_point at(std::int64_t ms) { return time_point{milliseconds{ms}}; }
};

TEST_F(queue_order_fixture, burst_is_ordered_by_started_transactions_then_priority_then_age)
{
    std::vector<queued_statement> queue{
        {1, false, 2, at(1)}, {2, false, 1, at(5)}, {3, true, 2, at(9)}, {4, false, 1, at(3)}};
    std::sort(queue.begin(), queue.end(), precedes);
    std::vector<session_number> order;
    for (const queued_statement& each : queue) {
        order.push_back(each.session);
    }
    EXPECT_EQ(order, (std::vector<session_number>{3, 4, 2, 1}));
}

TEST_F(queue_order_fixture, lasting_overload_is_ordered_by_started_transactions_then_priority_then_newest)
{
    std::vector<queued_statement> queue{
        {1, false, 2, at(1)}, {2, false, 1, at(5)}, {3, true, 2, at(9)}, {4, false, 1, at(3)}};
    std::sort(queue.begin(), queue.end(), precedes_in_overload);
    std::vector<session_number> order;
    for (const queued_statement& each : queue) {
        order.push_back(each.session);
    }
    EXPECT_EQ(order, (std::vector<session_number>{3, 2, 4, 1}));
    EXPECT_FALSE(is_overloaded(overload_threshold - milliseconds{1}));
    EXPECT_TRUE(is_overloaded(overload_threshold));
}

/// Simulates statements that arrive at a constant rate, twice as fast as the server executes them. With the
/// oldest first, every statement is sent so late that its response misses the target time.
TEST_F(queue_order_fixture,
       double_load_has_half_of_it_answered_in_time_with_the_newest_first_and_none_with_the_oldest_first)
{
    constexpr std::int64_t service_ms = 6;
    constexpr std::int64_t arrival_ms = 3;
    constexpr std::int64_t time_limit_ms = 800;
    constexpr std::int64_t target_ms = 400;
    constexpr std::int64_t duration_ms = 12'000;
    const auto count_answered_in_time = [&](auto order_before) {
        std::vector<queued_statement> queue;
        int answered = 0;
        for (std::int64_t now = 0; now < duration_ms; ++now) {
            if (now % arrival_ms == 0) {
                queue.push_back({static_cast<session_number>(now), false, 1, at(now)});
            }
            std::erase_if(queue, [&](const queued_statement& each) {
                return now - each.received_at.time_since_epoch().count() >= time_limit_ms;
            });
            if (now % service_ms == 0 && !queue.empty()) {
                std::sort(queue.begin(), queue.end(), order_before);
                const std::int64_t waited = now - queue.front().received_at.time_since_epoch().count();
                answered += now > duration_ms / 2 && waited + service_ms <= target_ms ? 1 : 0;
                queue.erase(queue.begin());
            }
        }
        return answered;
    };
    EXPECT_EQ(count_answered_in_time(precedes), 0);
    EXPECT_GT(count_answered_in_time(precedes_in_overload), duration_ms / 2 / service_ms * 9 / 10);
}

TEST_F(queue_order_fixture, queued_statement_is_too_late_from_the_send_margin_on)
{
    pending_statement waiting;
    waiting.deadline = time_point{milliseconds{1000}};
    EXPECT_FALSE(is_too_late(waiting, waiting.deadline - send_margin - milliseconds{1}));
    EXPECT_TRUE(is_too_late(waiting, waiting.deadline - send_margin));
}

class concurrency_limit_fixture : public ::testing::Test
{
};

TEST_F(concurrency_limit_fixture, refusals_within_the_interval_decrease_the_limit_once)
{
    const time_point now{milliseconds{1000}};
    const concurrency_limit lowered = after_refusal({8, {}}, 8, now);
    EXPECT_LT(lowered.allowed, 8);
    EXPECT_EQ(after_refusal(lowered, 8, now + milliseconds{1}), lowered);
    EXPECT_LT(after_refusal(lowered, 8, now + decrease_interval).allowed, lowered.allowed);
}

TEST_F(concurrency_limit_fixture, one_statement_may_always_be_sent)
{
    concurrency_limit limit;
    for (int at = 1; at < 50; ++at) {
        limit = after_refusal(limit, 1, time_point{milliseconds{at * 100}});
    }
    EXPECT_TRUE(may_send(limit, 0));
    EXPECT_FALSE(may_send(limit, 1));
}

TEST_F(concurrency_limit_fixture, responses_increase_only_a_limit_that_is_reached)
{
    const concurrency_limit limit{4, {}};
    EXPECT_EQ(after_answer(limit, 1), limit);
    EXPECT_GT(after_answer(limit, 3).allowed, limit.allowed);
    EXPECT_LE(after_answer({max_in_flight, {}}, 24).allowed, max_in_flight);
}

/// Twelve hosts with unlimited work share a server with 3 slots and a queue of 24. In each round, every host
/// sends as many statements as its limit allows, and the server accepts 27 of them.
TEST_F(concurrency_limit_fixture, hosts_that_share_an_overloaded_server_converge_to_its_capacity)
{
    constexpr std::size_t hosts = 12;
    constexpr std::uint32_t capacity = 27;
    constexpr int rounds = 400;
    std::vector<concurrency_limit> limits(hosts);
    int sent_late = 0;
    int refused_late = 0;
    for (int round = 0; round < rounds; ++round) {
        const time_point now{milliseconds{round * 60}};
        std::uint32_t arrived = 0;
        for (concurrency_limit& limit : limits) {
            std::uint32_t in_flight = 0;
            while (may_send(limit, in_flight)) {
                ++in_flight;
                const bool is_refused = ++arrived > capacity;
                sent_late += round > rounds / 2 ? 1 : 0;
                refused_late += round > rounds / 2 && is_refused ? 1 : 0;
                limit = is_refused ? after_refusal(limit, in_flight, now) : after_answer(limit, in_flight);
            }
        }
    }
    EXPECT_LT(refused_late, sent_late / 4);
}

} // namespace hickorymount::sessions::detail
