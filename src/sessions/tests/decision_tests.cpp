#include "sessions/flight_limit.h"
#include "sessions/internal/freshness.h"
#include "sessions/internal/outcome.h"
#include "sessions/internal/placement.h"
#include "sessions/internal/waiting_line.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::sessions::detail {

namespace {

struct outcome_case
{
    statement_scope scope;
    std::optional<answer_code> code;
    bool is_transaction_open;
    response_action expected;
};

} // namespace

class outcome_fixture : public ::testing::TestWithParam<outcome_case>
{
};

TEST_P(outcome_fixture, answer_to_a_sent_statement_has_one_true_verdict)
{
    const outcome_case& row = GetParam();
    EXPECT_EQ(choose_action(row.scope, row.code, row.is_transaction_open), row.expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, outcome_fixture,
    ::testing::Values(
        outcome_case{statement_scope::single_read, answer_code::done, false,
                     response_action::forward_response},
        outcome_case{statement_scope::single_read, answer_code::busy, false,
                     response_action::try_another_server},
        outcome_case{statement_scope::single_read, answer_code::lagging, false,
                     response_action::try_another_server},
        outcome_case{statement_scope::single_read, answer_code::failed, false,
                     response_action::try_another_server},
        outcome_case{statement_scope::single_read, std::nullopt, false, response_action::try_another_server},
        outcome_case{statement_scope::single_write, answer_code::done, false,
                     response_action::forward_response},
        outcome_case{statement_scope::single_write, answer_code::busy, false,
                     response_action::try_another_server},
        outcome_case{statement_scope::single_write, answer_code::read_only, false,
                     response_action::try_another_server},
        outcome_case{statement_scope::single_write, answer_code::failed, false,
                     response_action::forward_response},
        outcome_case{statement_scope::single_write, answer_code::timed_out, false,
                     response_action::forward_response},
        outcome_case{statement_scope::single_write, std::nullopt, false,
                     response_action::report_outcome_unknown},
        outcome_case{statement_scope::in_transaction, answer_code::done, true,
                     response_action::forward_response},
        outcome_case{statement_scope::in_transaction, answer_code::busy, true,
                     response_action::retry_on_same_connection},
        outcome_case{statement_scope::in_transaction, answer_code::busy, false,
                     response_action::forward_response},
        outcome_case{statement_scope::in_transaction, answer_code::failed, true,
                     response_action::forward_response},
        outcome_case{statement_scope::in_transaction, std::nullopt, false, response_action::report_aborted},
        outcome_case{statement_scope::commit_of_reads, std::nullopt, false, response_action::report_aborted},
        outcome_case{statement_scope::commit_of_writes, answer_code::busy, true,
                     response_action::retry_on_same_connection},
        outcome_case{statement_scope::commit_of_writes, answer_code::timed_out, false,
                     response_action::forward_response},
        outcome_case{statement_scope::commit_of_writes, std::nullopt, false,
                     response_action::report_outcome_unknown}));

class freshness_fixture : public ::testing::Test
{
protected:
    static time_point at(int ms) { return time_point{milliseconds{ms}}; }

    std::deque<position_sample> m_samples;
};

TEST_F(freshness_fixture, position_is_the_lowest_whose_question_came_late_enough)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(1010));
    add_sample(m_samples, {at(2000), {1, 20}}, at(2010));
    EXPECT_EQ(position_covering(m_samples, at(900)), (group_position{1, 10}));
    EXPECT_EQ(position_covering(m_samples, at(1001)), (group_position{1, 20}));
}

TEST_F(freshness_fixture, moment_after_the_last_question_is_not_covered)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(5000));
    EXPECT_FALSE(position_covering(m_samples, at(1001)));
}

TEST_F(freshness_fixture, old_samples_are_dropped_and_close_ones_not_kept)
{
    add_sample(m_samples, {at(1000), {1, 10}}, at(1000));
    add_sample(m_samples, {at(1001), {1, 11}}, at(1001));
    EXPECT_EQ(m_samples.size(), 1U);
    add_sample(m_samples, {at(60'000), {1, 90}}, at(60'000));
    EXPECT_EQ(m_samples.size(), 1U);
}

class placement_fixture : public ::testing::Test
{
protected:
    static read_candidate server(const char* name, bool is_primary, bool is_near, std::uint32_t in_flight)
    {
        return {backend_server_name{name}, is_primary, is_near, in_flight, 20, false};
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

TEST_F(placement_fixture, replica_of_the_own_zone_goes_first)
{
    EXPECT_EQ(names(rank_read_servers({server("primary", true, false, 0), server("far", false, false, 0),
                                       server("near", false, true, 0)})),
              (std::vector<std::string>{"near", "far", "primary"}));
}

TEST_F(placement_fixture, crowded_server_goes_after_an_idle_one)
{
    EXPECT_EQ(names(rank_read_servers({server("near", false, true, 3), server("far", false, false, 0)})),
              (std::vector<std::string>{"far", "near"}));
}

TEST_F(placement_fixture, server_that_has_just_refused_goes_last)
{
    read_candidate refused = server("near", false, true, 0);
    refused.is_avoided = true;
    EXPECT_EQ(names(rank_read_servers({refused, server("primary", true, false, 2)})),
              (std::vector<std::string>{"primary", "near"}));
}

class waiting_line_fixture : public ::testing::Test
{
protected:
    static time_point at(std::int64_t when) { return time_point{milliseconds{when}}; }
};

TEST_F(waiting_line_fixture, burst_is_served_by_begun_transactions_then_priority_then_age)
{
    std::vector<queued_statement> line{
        {1, false, 2, at(1)}, {2, false, 1, at(5)}, {3, true, 2, at(9)}, {4, false, 1, at(3)}};
    std::sort(line.begin(), line.end(), precedes);
    std::vector<session_number> order;
    for (const queued_statement& each : line) {
        order.push_back(each.session);
    }
    EXPECT_EQ(order, (std::vector<session_number>{3, 4, 2, 1}));
}

TEST_F(waiting_line_fixture, lasting_overload_is_served_by_begun_transactions_then_priority_then_newest)
{
    std::vector<queued_statement> line{
        {1, false, 2, at(1)}, {2, false, 1, at(5)}, {3, true, 2, at(9)}, {4, false, 1, at(3)}};
    std::sort(line.begin(), line.end(), precedes_in_overload);
    std::vector<session_number> order;
    for (const queued_statement& each : line) {
        order.push_back(each.session);
    }
    EXPECT_EQ(order, (std::vector<session_number>{3, 2, 4, 1}));
    EXPECT_FALSE(is_overloaded(overload_threshold - milliseconds{1}));
    EXPECT_TRUE(is_overloaded(overload_threshold));
}

/// Replays a load that is twice what a server can do: arrivals at equal distances, and as many served.
TEST_F(waiting_line_fixture,
       half_of_a_lasting_double_load_is_answered_in_time_by_the_newest_first_and_none_by_the_oldest)
{
    constexpr std::int64_t service_ms = 6;
    constexpr std::int64_t arrival_ms = 3;
    constexpr std::int64_t time_limit_ms = 800;
    constexpr std::int64_t aim_ms = 400;
    constexpr std::int64_t length_ms = 12'000;
    const auto in_time = [&](auto goes_first) {
        std::vector<queued_statement> line;
        int answered = 0;
        for (std::int64_t now = 0; now < length_ms; ++now) {
            if (now % arrival_ms == 0) {
                line.push_back({static_cast<session_number>(now), false, 1, at(now)});
            }
            std::erase_if(line, [&](const queued_statement& each) {
                return now - each.received_at.time_since_epoch().count() >= time_limit_ms;
            });
            if (now % service_ms == 0 && !line.empty()) {
                std::sort(line.begin(), line.end(), goes_first);
                const std::int64_t waited = now - line.front().received_at.time_since_epoch().count();
                answered += now > length_ms / 2 && waited + service_ms <= aim_ms ? 1 : 0;
                line.erase(line.begin());
            }
        }
        return answered;
    };
    EXPECT_EQ(in_time(precedes), 0);
    EXPECT_GT(in_time(precedes_in_overload), length_ms / 2 / service_ms * 9 / 10);
}

TEST_F(waiting_line_fixture, statement_too_late_to_be_answered_is_refused)
{
    pending_statement waiting;
    waiting.deadline = time_point{milliseconds{1000}};
    EXPECT_FALSE(is_too_late(waiting, waiting.deadline - send_margin - milliseconds{1}));
    EXPECT_TRUE(is_too_late(waiting, waiting.deadline - send_margin));
}

class concurrency_limit_fixture : public ::testing::Test
{
};

TEST_F(concurrency_limit_fixture, refusals_that_come_together_lower_the_limit_once)
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

TEST_F(concurrency_limit_fixture, answers_raise_a_limit_that_is_used_and_no_other)
{
    const concurrency_limit limit{4, {}};
    EXPECT_EQ(after_answer(limit, 1), limit);
    EXPECT_GT(after_answer(limit, 3).allowed, limit.allowed);
    EXPECT_LE(after_answer({max_in_flight, {}}, 24).allowed, max_in_flight);
}

/// Twelve hosts with work without end before a server of 3 slots and a queue of 24: in rounds, each sends
/// what it may, and the server takes what it has room for.
TEST_F(concurrency_limit_fixture, hosts_before_one_full_server_soon_send_what_it_takes)
{
    constexpr std::size_t hosts = 12;
    constexpr std::uint32_t room = 27;
    constexpr int rounds = 400;
    std::vector<concurrency_limit> limits(hosts);
    int sent_late = 0;
    int refused_late = 0;
    for (int round = 0; round < rounds; ++round) {
        const time_point now{milliseconds{round * 60}};
        std::uint32_t taken = 0;
        for (concurrency_limit& limit : limits) {
            std::uint32_t in_flight = 0;
            while (may_send(limit, in_flight)) {
                ++in_flight;
                const bool is_refused = ++taken > room;
                sent_late += round > rounds / 2 ? 1 : 0;
                refused_late += round > rounds / 2 && is_refused ? 1 : 0;
                limit = is_refused ? after_refusal(limit, in_flight, now) : after_answer(limit, in_flight);
            }
        }
    }
    EXPECT_LT(refused_late, sent_late / 4);
}

} // namespace hickorymount::sessions::detail
