#include "sessions/internal/position_samples.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/read_ranking.h"
#include "sessions/internal/response_action.h"
#include "sessions/response_times.h"

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
        read_candidate made{backend_server_name{name}, is_primary, is_in_own_zone};
        made.in_flight = in_flight;
        return made;
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

// Guards against statements that queue at the nearest server while another one is idle.
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

// Guards against bytes between regions that the nearest server's free slots would have saved.
TEST_F(read_ranking_fixture, server_of_the_own_region_with_free_slots_is_preferred_to_an_idle_one_of_another)
{
    read_candidate near = server("near", false, false, 3);
    near.slots = 5;
    near.round_trip_ms = 9;
    near.service_ms = 24;
    read_candidate far = server("far", false, false, 0);
    far.slots = 5;
    far.round_trip_ms = 24;
    far.service_ms = 24;
    far.is_far = true;
    EXPECT_EQ(names(rank_read_servers({far, near})), (std::vector<std::string>{"near", "far"}));
    near.queueing_ms = 60;
    EXPECT_EQ(names(rank_read_servers({far, near})), (std::vector<std::string>{"far", "near"}));
}

// Guards against connections that are opened, for 12 ms of a slot, to save less than that.
TEST_F(read_ranking_fixture, idle_connection_is_preferred_to_opening_one_at_a_slightly_better_server)
{
    read_candidate closed = server("closed", false, true, 0);
    closed.needs_opening = true;
    EXPECT_EQ(names(rank_read_servers({closed, server("open", false, false, 0)})),
              (std::vector<std::string>{"open", "closed"}));
}

// Guards against a server that is never tried because nothing is known about it.
TEST_F(read_ranking_fixture, server_without_measurements_is_taken_to_be_as_good_as_the_best)
{
    read_candidate measured = server("measured", true, false, 0);
    measured.round_trip_ms = 3;
    measured.service_ms = 7;
    std::vector<read_candidate> servers{measured, server("new", false, false, 0)};
    estimate_unmeasured(servers);
    EXPECT_EQ(servers[1].service_ms, 7);
    EXPECT_LE(*servers[1].round_trip_ms, 3);
    EXPECT_EQ(names(rank_read_servers(servers)).front(), "new");
}

TEST_F(read_ranking_fixture, server_is_far_when_its_round_trip_is_that_between_regions)
{
    EXPECT_FALSE(is_far(std::nullopt, 1));
    EXPECT_FALSE(is_far(24, std::nullopt));
    EXPECT_FALSE(is_far(9, 0.4));
    EXPECT_TRUE(is_far(24, 0.4));
    // The own zone has no server: the nearest is in another zone of the region.
    EXPECT_TRUE(is_far(24, 9));
}

// Guards against writes that queue behind reads which a replica could have run.
TEST_F(read_ranking_fixture, read_leaves_the_last_slots_of_the_primary_free)
{
    read_candidate primary = server("primary", true, true, 0);
    primary.slots = 5;
    EXPECT_TRUE(may_read_at_primary(primary));
    primary.in_flight = 3;
    EXPECT_FALSE(may_read_at_primary(primary));
    primary.in_flight = 0;
    primary.queueing_ms = 30;
    EXPECT_FALSE(may_read_at_primary(primary));
}

class response_times_fixture : public ::testing::Test
{
protected:
    void respond(std::int64_t took_ms, work_kind kind = work_kind::read)
    {
        m_now += milliseconds{20};
        m_times = after_statement(m_times, kind, milliseconds{took_ms}, m_now);
    }

    time_point m_now{milliseconds{1000}};
    response_times m_times;
};

TEST_F(response_times_fixture, round_trip_is_the_fastest_exchange_and_half_of_an_opening)
{
    EXPECT_EQ(round_trip_ms(m_times), std::nullopt);
    m_times = after_opening(m_times, milliseconds{36}, m_now);
    EXPECT_EQ(round_trip_ms(m_times), 18);
    m_times = after_exchange(m_times, milliseconds{9}, m_now);
    m_times = after_exchange(m_times, milliseconds{40}, m_now);
    EXPECT_EQ(round_trip_ms(m_times), 9);
}

TEST_F(response_times_fixture, round_trip_that_has_become_longer_is_adopted_after_two_periods)
{
    m_times = after_exchange(m_times, milliseconds{2}, m_now);
    for (int at = 0; at < 3; ++at) {
        m_now += milliseconds{20'000};
        m_times = after_exchange(m_times, milliseconds{30}, m_now);
    }
    EXPECT_EQ(round_trip_ms(m_times), 30);
}

// Guards against a queue that is taken for the time that statements need.
TEST_F(response_times_fixture, seconds_of_queueing_hardly_change_the_service_time)
{
    m_times = after_exchange(m_times, milliseconds{1}, m_now);
    for (int at = 0; at < 50; ++at) {
        respond(25);
    }
    EXPECT_NEAR(*service_ms(m_times, work_kind::read), 24, 1);
    EXPECT_NEAR(queueing_ms(m_times, m_now), 0, 1);
    for (int at = 0; at < 60; ++at) {
        respond(100);
    }
    EXPECT_LT(*service_ms(m_times, work_kind::read), 42);
    EXPECT_GT(queueing_ms(m_times, m_now), 50);
}

TEST_F(response_times_fixture, server_that_has_become_slower_for_good_is_known_as_such)
{
    for (int at = 0; at < 50; ++at) {
        respond(25);
    }
    for (int at = 0; at < 9000; ++at) {
        respond(120);
    }
    EXPECT_NEAR(m_times.work[0].base_ms, 120, 10);
    EXPECT_LT(queueing_ms(m_times, m_now), 10);
}

TEST_F(response_times_fixture, short_writes_do_not_make_reads_look_queued)
{
    for (int at = 0; at < 50; ++at) {
        respond(40);
        respond(8, work_kind::write);
    }
    EXPECT_LT(queueing_ms(m_times, m_now), 2);
}

// Guards against a primary that is taken to be full while its commits wait for a lagging replica.
TEST_F(response_times_fixture, commits_that_wait_for_replicas_do_not_look_like_queueing)
{
    for (int at = 0; at < 50; ++at) {
        respond(10);
        respond(at < 20 ? 30 : 400, work_kind::commit);
    }
    EXPECT_LT(queueing_ms(m_times, m_now), 2);
}

// Guards against a server that gets no statements for ever because of an old measurement.
TEST_F(response_times_fixture, queueing_that_is_no_longer_measured_is_forgotten)
{
    for (int at = 0; at < 30; ++at) {
        respond(20);
    }
    for (int at = 0; at < 20; ++at) {
        respond(200);
    }
    EXPECT_GT(queueing_ms(m_times, m_now), 100);
    EXPECT_LT(queueing_ms(m_times, m_now + milliseconds{15'000}), 10);
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

} // namespace hickorymount::sessions::detail
