#include "sessions/internal/next_check.h"
#include "sessions/internal/queue_pass.h"
#include "sessions/tests/session_fixture.h"

#include <algorithm>

namespace hickorymount::sessions {

/// Replays an overloaded primary: all connections are in use, and many sessions wait for one. What an event
/// costs must not depend on how many wait, or an overload feeds itself.
class event_cost_fixture : public session_fixture
{
protected:
    /// Opens sessions whose statements wait, beside one whose statement runs.
    void fill_queue(std::size_t waiting)
    {
        m_view.servers[backend_server_name{"first"}].connection_share = 1;
        publish();
        submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
        m_running = run_until_statement_sent().connection;
        for (std::size_t at = 0; at < waiting; ++at) {
            submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
        }
        m_effects.clear();
    }

    /// Statements that one pass over the queue looks at while the only connection is in use.
    [[nodiscard]] std::size_t visited_in_a_pass() const
    {
        statement_queue queue = m_state.queues.at(group_name{"orders"});
        queue.start_pass(m_now);
        return detail::run_queue_pass(queue, m_now, false,
                                      [](const queue_place&) { return detail::look_result::blocked; });
    }

    connection_number m_running = 0;
};

class waiting_sessions_fixture : public event_cost_fixture, public ::testing::WithParamInterface<std::size_t>
{
};

TEST_P(waiting_sessions_fixture, pass_over_a_queue_without_a_free_connection_looks_at_one_statement_a_lane)
{
    fill_queue(GetParam());
    EXPECT_EQ(visited_in_a_pass(), 1U);
}

TEST_P(waiting_sessions_fixture, response_sends_one_waiting_statement_and_causes_no_other_effect_for_the_rest)
{
    fill_queue(GetParam());
    respond_done(m_running);
    EXPECT_EQ(take_effects<send_statement>().size(), 1U);
    EXPECT_EQ(take_effects<send_response>().size(), 1U);
    take_effects<record_statement_metrics>();
    EXPECT_TRUE(m_effects.empty());
}

INSTANTIATE_TEST_SUITE_P(sizes, waiting_sessions_fixture, ::testing::Values(10, 100, 1000));

TEST_F(event_cost_fixture, waiting_statements_have_one_scheduled_check_each)
{
    fill_queue(1000);
    EXPECT_LE(m_state.checks.size(), 1010U);
    for (int at = 0; at < 200; ++at) {
        respond_done(m_running);
        const auto sent = take_effects<send_statement>();
        ASSERT_EQ(sent.size(), 1U);
    }
    EXPECT_LE(m_state.checks.size(), 1210U);
}

TEST_F(event_cost_fixture, timer_does_not_expire_before_something_is_due)
{
    const session_number session = open("ledger");
    for (int at = 0; at < 3; ++at) {
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        respond_done(run_until_statement_sent().connection);
        m_now += milliseconds{100};
    }
    publish();
    EXPECT_GE(m_wake, std::min(m_state.next_report_at, m_now + read_retry_delay));
}

TEST_F(event_cost_fixture, each_waiting_statement_is_refused_at_its_own_deadline)
{
    fill_queue(1);
    m_now += milliseconds{100};
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 b"));
    advance_time(statement_timeout - send_margin - milliseconds{101});
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, response_code::busy);
    advance_time(milliseconds{99});
    take_effects<send_response>();
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(event_cost_fixture, statement_is_refused_at_once_when_this_host_is_known_to_be_cut_off)
{
    m_view.lease_until = m_now - isolation_delay;
    publish();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(event_cost_fixture,
       waiting_statement_is_refused_within_the_queue_check_interval_after_the_host_is_cut_off)
{
    m_view.lease_until = m_now;
    publish();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    m_view.configuration = shared_value([this] {
        auto changed = *m_view.configuration;
        changed.content.database_routes.front().statement_timeout = milliseconds{8000};
        ++changed.version;
        return changed;
    }());
    publish();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    take_effects<send_response>();
    m_now += isolation_delay - queue_check_interval;
    apply_event(timer_expired{});
    take_effects<send_response>();
    advance_time(queue_check_interval);
    EXPECT_EQ(next_response().code, response_code::busy);
}

} // namespace hickorymount::sessions
