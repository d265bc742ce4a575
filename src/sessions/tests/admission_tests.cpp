#include "sessions/drain_rate.h"
#include "sessions/internal/admission.h"
#include "sessions/internal/queue_order.h"
#include "sessions/tests/session_fixture.h"

#include <algorithm>
#include <deque>

namespace hickorymount::sessions {

using detail::may_be_answered;

/// Replays the queue of one group: servers with slots finish statements, others wait, the newest first in a
/// lasting overload.
class admission_replay_fixture : public ::testing::Test
{
protected:
    static constexpr std::int64_t deadline_ms = 2000;

    struct outcome_counts
    {
        int answered = 0;
        /// Refused by the estimate.
        int refused = 0;
        /// Refused statements that would have been answered: the slots become free before the deadline, even
        /// with all that arrives until then served first.
        int refused_in_vain = 0;
        /// Left in the queue until the deadline.
        int expired = 0;
    };

    /// `service_ms` are the times of the servers' slots; `arrivals` the number of statements that arrive in
    /// each millisecond.
    template <class Arrivals>
    outcome_counts replay(const std::vector<std::int64_t>& service_ms, std::int64_t duration_ms,
                          Arrivals arrivals)
    {
        outcome_counts counts;
        drain_rate rate;
        std::deque<std::int64_t> queue;
        std::vector<std::int64_t> busy_until(service_ms.size(), 0);
        double true_rate = 0;
        for (const std::int64_t each : service_ms) {
            true_rate += 1000.0 / static_cast<double>(each);
        }
        const auto work_until = [&](std::int64_t from, std::int64_t to) {
            double work = 0;
            for (std::int64_t at = from; at < to; ++at) {
                work += arrivals(at);
            }
            return work;
        };
        for (std::int64_t now = 1; now <= duration_ms; ++now) {
            const time_point time{milliseconds{now}};
            rate = after_time(rate, time, !queue.empty(), false);
            while (!queue.empty() && queue.front() + deadline_ms <= now) {
                queue.pop_front();
                ++counts.expired;
            }
            const bool is_overload =
                !queue.empty() && detail::is_overloaded(milliseconds{now - queue.front()});
            for (std::size_t slot = 0; slot < busy_until.size(); ++slot) {
                if (busy_until[slot] == now && !queue.empty()) {
                    rate = after_finished_statement(rate, time);
                }
                if (busy_until[slot] <= now && !queue.empty()) {
                    ++counts.answered;
                    busy_until[slot] = now + service_ms[slot];
                    is_overload ? queue.pop_back() : queue.pop_front();
                }
            }
            for (int each = arrivals(now); each > 0; --each) {
                const auto ahead = is_overload ? 0.0 : static_cast<double>(queue.size());
                if (may_be_answered({ahead, per_second(rate)}, milliseconds{deadline_ms})) {
                    queue.push_back(now);
                } else {
                    ++counts.refused;
                    counts.refused_in_vain += ahead / true_rate * 1000 < deadline_ms ? 1 : 0;
                }
            }
            for (int each = 0; each < 16 && now % 100 == 0 && is_overload && !queue.empty(); ++each) {
                const auto ahead = static_cast<double>(queue.size() - 1);
                const std::int64_t remaining = queue.front() + deadline_ms - now;
                if (may_be_answered({ahead, per_second(rate)}, milliseconds{remaining})) {
                    break;
                }
                const double work = ahead + work_until(now, now + remaining);
                counts.refused_in_vain += work / true_rate * 1000 < static_cast<double>(remaining) ? 1 : 0;
                ++counts.refused;
                queue.pop_front();
            }
        }
        return counts;
    }

    /// Five servers of three slots, one of which is six times slower.
    static std::vector<std::int64_t> uneven_servers()
    {
        std::vector<std::int64_t> slots(12, 40);
        slots.insert(slots.end(), 3, 240);
        return slots;
    }
};

TEST_F(admission_replay_fixture, burst_of_three_times_the_demand_with_a_slow_server_refuses_nothing_in_vain)
{
    // The servers finish 312 statements per second; the usual demand is 200.
    const auto counts = replay(uneven_servers(), 20'000, [](std::int64_t now) {
        const bool is_burst = now >= 5000 && now < 10'000;
        return is_burst ? (now % 5 < 3 ? 1 : 0) : (now % 5 == 0 ? 1 : 0);
    });
    EXPECT_EQ(counts.refused_in_vain, 0);
    // The demand before and after the burst, and what the servers can finish during it.
    EXPECT_GT(counts.answered, 4400);
}

TEST_F(admission_replay_fixture, queue_that_takes_several_time_limits_is_mostly_refused_early)
{
    const auto counts = replay(std::vector<std::int64_t>(3, 400), 20'000,
                               [](std::int64_t now) { return now % 20 == 0 ? 1 : 0; });
    EXPECT_GT(counts.refused, counts.expired);
    EXPECT_EQ(counts.refused_in_vain, 0);
}

TEST_F(admission_replay_fixture, usual_demand_is_never_refused)
{
    const auto counts =
        replay(uneven_servers(), 20'000, [](std::int64_t now) { return now % 4 == 0 ? 1 : 0; });
    EXPECT_EQ(counts.refused, 0);
    EXPECT_EQ(counts.expired, 0);
}

TEST_F(admission_replay_fixture, statements_that_arrive_at_once_at_an_idle_host_are_admitted)
{
    const auto counts = replay({40, 40}, 300, [](std::int64_t now) { return now == 1 ? 500 : 0; });
    EXPECT_EQ(counts.refused, 0);
}

class drain_rate_fixture : public ::testing::Test
{
protected:
    static time_point at(std::int64_t ms) { return time_point{milliseconds{ms}}; }

    /// Finishes a statement every `interval` while others wait.
    void drain(std::int64_t from, std::int64_t to, std::int64_t interval)
    {
        for (std::int64_t now = from; now < to; now += interval) {
            m_rate = after_time(m_rate, at(now), true, false);
            m_rate = after_finished_statement(m_rate, at(now));
        }
    }

    drain_rate m_rate = after_time({}, at(1000), false, false);
};

TEST_F(drain_rate_fixture, rate_is_unknown_at_first_and_then_follows_what_is_finished)
{
    EXPECT_FALSE(per_second(m_rate));
    drain(1000, 1300, 10);
    EXPECT_FALSE(per_second(m_rate));
    drain(1300, 6000, 10);
    EXPECT_NEAR(*per_second(m_rate), 100, 5);
    drain(6000, 16'000, 60);
    EXPECT_NEAR(*per_second(m_rate), 17, 3);
}

/// Without this, the statements that wait for a new primary would be refused although it runs them at once.
TEST_F(drain_rate_fixture, replacement_of_the_primary_keeps_the_rate)
{
    drain(1000, 6000, 10);
    const double before = *per_second(m_rate);
    m_rate = after_time(m_rate, at(6300), true, false);
    for (std::int64_t now = 6300; now <= 8000; now += 100) {
        m_rate = after_time(m_rate, at(now), true, true);
    }
    EXPECT_NEAR(*per_second(m_rate), before, before / 8);
    EXPECT_TRUE(may_be_answered({150, per_second(m_rate)}, milliseconds{2000}));
}

TEST_F(drain_rate_fixture, silent_servers_keep_the_rate_for_the_time_of_a_replacement_and_then_lose_it)
{
    drain(1000, 6000, 10);
    const double before = *per_second(m_rate);
    m_rate = after_time(m_rate, at(8000), true, false);
    EXPECT_NEAR(*per_second(m_rate), before, before / 8);
    m_rate = after_time(m_rate, at(20'000), true, false);
    EXPECT_LT(*per_second(m_rate), before / 20);
}

TEST_F(drain_rate_fixture, time_without_waiting_statements_says_nothing_and_an_old_rate_is_forgotten)
{
    drain(1000, 6000, 10);
    const double before = *per_second(m_rate);
    m_rate = after_time(m_rate, at(9000), false, false);
    EXPECT_DOUBLE_EQ(*per_second(m_rate), before);
    m_rate = after_time(m_rate, at(15'000), false, false);
    EXPECT_FALSE(per_second(m_rate));
}

class admission_fixture : public session_fixture
{
protected:
    /// Lets `waiting` writes queue for the only connection, which answers one every 100 ms.
    connection_number fill_queue(int waiting)
    {
        m_view.servers[backend_server_name{"first"}].connection_share = 1;
        auto changed = *m_view.configuration;
        for (configuration::database_route& route : changed.content.database_routes) {
            route.statement_timeout = milliseconds{8000};
        }
        ++changed.version;
        m_view.configuration = shared_value(std::move(changed));
        publish();
        submit_write();
        const connection_number connection = run_until_statement_sent().connection;
        for (int at = 0; at < waiting; ++at) {
            submit_write();
        }
        return connection;
    }

    void submit_write() { submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a")); }

    void answer(connection_number connection, int count, milliseconds interval)
    {
        for (int at = 0; at < count; ++at) {
            advance_time(interval);
            respond_done(connection);
        }
    }

    std::size_t count_refusals()
    {
        std::size_t refused = 0;
        for (const record_statement_metrics& each : take_effects<record_statement_metrics>()) {
            refused += each.waited_for == wait_cause::too_much_work_ahead ? 1 : 0;
        }
        return refused;
    }
};

TEST_F(admission_fixture, statement_behind_more_work_than_fits_in_its_time_is_refused_at_once)
{
    const connection_number connection = fill_queue(190);
    EXPECT_EQ(count_refusals(), 0U);
    answer(connection, 10, milliseconds{20});
    EXPECT_EQ(count_refusals(), 0U);
    take_effects<send_response>();
    // Ten statements in a second: 8 s are enough for 80, and with the tolerance for 120.
    answer(connection, 2, milliseconds{1000});
    EXPECT_GT(count_refusals(), 0U);
    const auto responses = take_effects<send_response>();
    EXPECT_TRUE(std::any_of(responses.begin(), responses.end(), [](const send_response& each) {
        return each.response.code == response_code::busy;
    }));
}

TEST_F(admission_fixture, queue_that_is_drained_in_time_is_not_refused)
{
    const connection_number connection = fill_queue(60);
    for (int at = 0; at < 60; ++at) {
        answer(connection, 1, milliseconds{60});
        EXPECT_EQ(count_refusals(), 0U);
    }
}

TEST_F(admission_fixture, statements_that_wait_for_a_new_primary_are_not_refused)
{
    const connection_number connection = fill_queue(60);
    answer(connection, 20, milliseconds{60});
    m_view.groups.at(group_name{"orders"}).is_open = false;
    publish();
    for (int at = 0; at < 20; ++at) {
        advance_time(milliseconds{100});
        submit_write();
    }
    EXPECT_EQ(count_refusals(), 0U);
}

TEST_F(admission_fixture, metrics_name_the_time_until_the_statement_was_first_sent)
{
    const connection_number connection = fill_queue(1);
    answer(connection, 2, milliseconds{60});
    const auto recorded = take_effects<record_statement_metrics>();
    ASSERT_EQ(recorded.size(), 2U);
    EXPECT_EQ(recorded[0].queued_for, milliseconds{0});
    EXPECT_EQ(recorded[1].queued_for, milliseconds{60});
}

TEST_F(admission_fixture, length_of_a_queue_is_recorded_while_it_changes)
{
    fill_queue(3);
    take_effects<record_queue_metrics>();
    advance_time(report_interval);
    const auto recorded = take_effects<record_queue_metrics>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].queued_statements.at(group_name{"orders"}), 3U);
    advance_time(report_interval);
    EXPECT_TRUE(take_effects<record_queue_metrics>().empty());
}

} // namespace hickorymount::sessions
