#include "sessions/internal/relay_deadline.h"
#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

/// A caller that is told `outcome_unknown` or `timed_out` can't retry safely. A statement that no server has
/// received is answered `busy`, or `aborted` where its transaction ran something before.
class unsent_statement_fixture : public session_fixture
{
protected:
    session_number open_relayed()
    {
        const session_number number = m_next_session++;
        apply_event(session_requested{number, "ledger", true});
        return number;
    }

    void submit_relayed(session_number session, std::optional<milliseconds> remaining_time)
    {
        apply_event(statement_received{session, "id" + std::to_string(m_next_id++),
                                       make_statement(statement_kind::write, "WRITE 1 a"), std::nullopt,
                                       std::nullopt, remaining_time});
    }

    /// Lets every statement for the primary wait.
    void end_lease()
    {
        m_view.lease_until = m_now;
        publish();
    }

    void use_relays()
    {
        protocol::relay_plan plan;
        plan.digest = 1;
        plan.relays = {{host_name{"near-1"}, {"10.0.0.2", 7455}, availability_zone{"second"}},
                       {host_name{"near-2"}, {"10.0.0.3", 7455}, availability_zone{"second"}}};
        plan.groups[group_name{"orders"}] = {false, {0, 1}};
        m_view.relay_plan = shared_value(std::move(plan));
        publish();
    }

    /// Opens a transaction with one write that has run, and returns the connection that it holds.
    connection_number open_written_transaction(session_number session)
    {
        submit(session, make_statement(statement_kind::begin, "BEGIN"));
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        const connection_number connection = run_until_statement_sent().connection;
        respond_done(connection, transaction_state::open);
        take_effects<send_response>();
        return connection;
    }

    /// Advances the time in steps of a timer, up to the last millisecond before the statement's deadline.
    void advance_to_end_of_time_limit() { advance_time(statement_timeout - milliseconds{1}); }
};

/// Without the margin, the refusal arrives at the caller's host after that host has answered
/// `outcome_unknown`.
TEST_F(unsent_statement_fixture, relay_refuses_a_queued_statement_before_the_deadline_of_the_callers_host)
{
    end_lease();
    submit_relayed(open_relayed(), std::nullopt);
    advance_time(statement_timeout - detail::relay_return_margin(statement_timeout) - send_margin);
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(unsent_statement_fixture, relay_counts_the_time_that_the_statement_has_waited_elsewhere)
{
    end_lease();
    submit_relayed(open_relayed(), milliseconds{300});
    advance_time(milliseconds{300} - detail::relay_return_margin(statement_timeout) - send_margin);
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(unsent_statement_fixture, relayed_statement_names_its_remaining_time_only_after_it_has_waited)
{
    use_relays();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement first = next_sent_statement();
    EXPECT_EQ(first.remaining_time, std::nullopt);
    advance_time(milliseconds{200});
    respond_error(first.connection, response_code::busy);
    advance_time(refusal_backoff);
    EXPECT_EQ(next_sent_statement().remaining_time, statement_timeout - milliseconds{200} - refusal_backoff);
}

TEST_F(unsent_statement_fixture, statement_that_no_relay_could_answer_in_time_is_not_relayed)
{
    use_relays();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    m_now += statement_timeout - detail::relay_return_margin(statement_timeout) - send_margin;
    apply_event(connection_opened{opened[0].connection});
    EXPECT_TRUE(take_effects<send_statement>().empty());
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(unsent_statement_fixture, statement_without_a_relay_connection_is_answered_busy)
{
    use_relays();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    advance_to_end_of_time_limit();
    EXPECT_EQ(next_response().code, response_code::busy);
}

/// A read has no effect, so nothing of it is kept even if the relay sent it on.
TEST_F(unsent_statement_fixture, read_at_a_silent_relay_is_answered_busy_at_its_deadline)
{
    use_relays();
    submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
    next_sent_statement();
    m_now += statement_timeout;
    apply_event(timer_expired{});
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(unsent_statement_fixture, read_unanswered_by_a_server_until_its_deadline_is_answered_timed_out)
{
    submit(open("ledger"), make_statement(statement_kind::read, "READ 1"));
    next_sent_statement();
    m_now += statement_timeout;
    apply_event(timer_expired{});
    EXPECT_EQ(next_response().code, response_code::timed_out);
}

TEST_F(unsent_statement_fixture, write_at_a_silent_relay_keeps_its_unknown_outcome)
{
    use_relays();
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    next_sent_statement();
    advance_time(statement_timeout);
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
}

/// The response would come after the caller has given up, and the statement must not be sent after that.
TEST_F(unsent_statement_fixture,
       statement_whose_connection_is_prepared_too_late_is_answered_busy_and_not_sent)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    m_now += milliseconds{500};
    open_connections();
    const send_statement preparation = next_sent_statement();
    ASSERT_EQ(preparation.body.kind, statement_kind::set_variable);
    advance_time(milliseconds{300} - send_margin);
    EXPECT_EQ(next_response().code, response_code::busy);
    respond_done(preparation.connection);
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(unsent_statement_fixture, preparation_answered_just_before_the_timer_does_not_send_a_late_statement)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    m_now += milliseconds{500};
    const send_statement preparation = next_sent_statement();
    m_now += milliseconds{300} - send_margin;
    respond_done(preparation.connection);
    EXPECT_TRUE(take_effects<send_statement>().empty());
    EXPECT_EQ(next_response().code, response_code::busy);
    EXPECT_EQ(m_state.connections.at(preparation.connection).stage, connection_stage::idle);
}

TEST_F(unsent_statement_fixture, first_statement_of_a_transaction_whose_begin_is_unanswered_is_answered_busy)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    next_response();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    m_now += milliseconds{500};
    const send_statement begin = next_sent_statement();
    ASSERT_EQ(begin.body.kind, statement_kind::begin);
    advance_time(milliseconds{300} - send_margin);
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::busy);
    EXPECT_EQ(response.state, transaction_state::failed);
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
}

TEST_F(unsent_statement_fixture, first_statement_of_a_transaction_runs_elsewhere_when_its_connection_is_lost)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    next_response();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement begin = next_sent_statement();
    apply_event(connection_lost{begin.connection, "reset"});
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_to_end_of_time_limit();
    EXPECT_EQ(next_response().code, response_code::busy);
}

/// The server refused the commit, and the end of the connection rolls the transaction back.
TEST_F(unsent_statement_fixture, refused_commit_whose_connection_is_lost_before_its_retry_is_answered_aborted)
{
    const session_number session = open("ledger");
    open_written_transaction(session);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement commit = next_sent_statement();
    respond_error(commit.connection, response_code::busy, transaction_state::open);
    apply_event(connection_lost{commit.connection, "reset"});
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::aborted);
    EXPECT_EQ(response.state, transaction_state::none);
}

TEST_F(unsent_statement_fixture, commit_whose_connection_is_lost_while_it_is_prepared_is_answered_aborted)
{
    const session_number session = open("ledger");
    open_written_transaction(session);
    submit(session, set_value("tz", "utc"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement preparation = next_sent_statement();
    ASSERT_EQ(preparation.body.kind, statement_kind::set_variable);
    apply_event(connection_lost{preparation.connection, "reset"});
    EXPECT_EQ(next_response().code, response_code::aborted);
}

TEST_F(unsent_statement_fixture, commit_whose_preparation_is_refused_is_answered_aborted)
{
    const session_number session = open("ledger");
    open_written_transaction(session);
    submit(session, set_value("tz", "utc"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement preparation = next_sent_statement();
    respond_error(preparation.connection, response_code::busy, transaction_state::open);
    EXPECT_EQ(next_response().code, response_code::aborted);
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
}

/// Without a response, the caller's connection just ends, which leaves the outcome open.
TEST_F(unsent_statement_fixture, statement_whose_connection_is_being_prepared_is_answered_busy_at_the_stop)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    ASSERT_EQ(next_sent_statement().body.kind, statement_kind::set_variable);
    submit(session, make_statement(statement_kind::write, "WRITE 1 b"));
    apply_event(stop_requested{stop_margin});
    const auto responses = take_effects<send_response>();
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_EQ(responses[0].response.code, response_code::busy);
    EXPECT_EQ(responses[1].response.code, response_code::busy);
}

} // namespace hickorymount::sessions
