#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

TEST_F(session_fixture, unknown_database_is_refused)
{
    open("nowhere");
    const auto refused = take_effects<refuse_session>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, response_code::unknown_database);
}

TEST_F(session_fixture, read_on_primary_database_runs_at_the_primary_and_its_response_is_forwarded_unchanged)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement run = run_until_statement_sent();
    EXPECT_EQ(server_of(run.connection), "first");
    EXPECT_EQ(run.body.text, "READ 1");
    EXPECT_FALSE(run.minimum_position);
    respond_done(run.connection);
    const statement_response response = next_response();
    EXPECT_EQ(response.rows, std::vector<std::string>{"row"});
    EXPECT_EQ(response.detail, m_last_signature);
    EXPECT_EQ(response.position, (group_position{3, 100}));
}

TEST_F(session_fixture, statement_waits_while_the_lease_has_ended)
{
    m_view.lease_until = m_now;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    open_connections();
    EXPECT_TRUE(take_effects<send_statement>().empty());
    m_view.lease_until = m_now + milliseconds{1000};
    publish();
    open_connections();
    EXPECT_EQ(take_effects<send_statement>().size(), 1U);
}

TEST_F(session_fixture, queued_statement_is_refused_before_its_deadline)
{
    m_view.lease_until = m_now;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_LE(m_wake, m_now + statement_timeout);
    advance_time(statement_timeout);
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(session_fixture, read_without_a_replica_connection_runs_at_the_primary_and_opens_one)
{
    record_sample({3, 40});
    advance_time(milliseconds{100});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(server_of(sent[0].connection), "first");
    const auto opened = take_effects<open_connection>();
    ASSERT_FALSE(opened.empty());
    EXPECT_EQ(opened[0].server.value, "second");
}

TEST_F(session_fixture, read_with_bounded_staleness_runs_at_a_replica_with_a_minimum_position)
{
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{100});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement run = run_until_statement_sent();
    EXPECT_NE(server_of(run.connection), "first");
    EXPECT_EQ(run.minimum_position, (group_position{3, 40}));
}

TEST_F(session_fixture, read_without_a_recent_sample_runs_at_the_primary)
{
    record_sample({3, 40});
    advance_time(staleness + milliseconds{1});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "first");
}

TEST_F(session_fixture, read_after_own_write_requires_the_position_of_that_write_from_a_replica)
{
    const session_number session = open("inspections");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection, transaction_state::none, {3, 77});
    take_effects<send_response>();
    record_sample({3, 50});
    connect_to_replicas();
    advance_time(milliseconds{30});
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement run = run_until_statement_sent();
    EXPECT_NE(server_of(run.connection), "first");
    EXPECT_EQ(run.minimum_position, (group_position{3, 77}));
}

TEST_F(session_fixture, read_refused_by_a_lagging_replica_is_retried_at_the_primary)
{
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement behind = run_until_statement_sent();
    EXPECT_NE(server_of(behind.connection), "first");
    respond_error(behind.connection, response_code::lagging);
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(refusal_backoff);
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "first");
}

TEST_F(session_fixture, variables_of_a_session_are_set_before_its_statement_runs)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    EXPECT_EQ(next_response().code, response_code::done);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    send_statement run = next_sent_statement();
    EXPECT_EQ(run.body.kind, statement_kind::set_variable);
    EXPECT_EQ(run.body.argument, "utc");
    respond_done(run.connection);
    EXPECT_EQ(next_sent_statement().body.text, "READ 1");
}

TEST_F(session_fixture, connection_with_variables_of_another_session_is_reset_first)
{
    const session_number first = open("ledger");
    submit(first, set_value("tz", "utc"));
    submit(first, make_statement(statement_kind::read, "READ 1"));
    respond_done(run_until_statement_sent().connection);
    take_effects<send_response>();
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, make_statement(statement_kind::read, "READ 2"));
    EXPECT_EQ(next_sent_statement().body.kind, statement_kind::reset);
}

TEST_F(session_fixture, equal_prepared_statements_share_one_name_on_a_connection)
{
    const session_number first = open("ledger");
    submit(first, prepare("a", true, "shape"));
    submit(first, execute("a", "1"));
    send_statement run = next_sent_statement();
    EXPECT_EQ(run.body.kind, statement_kind::prepare);
    const std::string shared = run.body.name;
    respond_done(run.connection);
    run = next_sent_statement();
    EXPECT_EQ(run.body.name, shared);
    respond_done(run.connection);
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, prepare("other", true, "shape"));
    submit(second, execute("other", "2"));
    run = next_sent_statement();
    EXPECT_EQ(run.body.kind, statement_kind::execute);
    EXPECT_EQ(run.body.name, shared);
}

TEST_F(session_fixture, unknown_prepared_name_is_refused_without_a_server)
{
    const session_number session = open("ledger");
    submit(session, execute("missing", "1"));
    EXPECT_EQ(next_response().code, response_code::unknown_statement);
}

TEST_F(session_fixture, transaction_stays_on_one_connection_to_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    EXPECT_EQ(next_response().state, transaction_state::open);
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement write = run_until_statement_sent();
    respond_done(write.connection, transaction_state::open);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement read = next_sent_statement();
    EXPECT_EQ(read.connection, write.connection);
    respond_done(read.connection, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement commit = next_sent_statement();
    EXPECT_EQ(commit.connection, write.connection);
    respond_done(commit.connection, transaction_state::none, {3, 101});
    EXPECT_EQ(take_effects<send_response>().back().response.state, transaction_state::none);
    EXPECT_EQ(m_state.commit_positions[group_name{"orders"}], (group_position{3, 101}));
    EXPECT_TRUE(take_effects<close_connection>().empty());
    EXPECT_EQ(m_state.connections.at(commit.connection).stage, connection_stage::idle);
}

TEST_F(session_fixture, read_transaction_whose_connection_is_lost_midway_is_aborted_and_not_moved)
{
    record_sample({3, 40});
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::begin_read, "BEGIN READ"));
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement first = run_until_statement_sent();
    respond_done(first.connection, transaction_state::open);
    take_effects<send_response>();
    submit(session, prepare("s", true, "shape"));
    take_effects<send_response>();
    submit(session, execute("s", "1"));
    EXPECT_EQ(next_sent_statement().body.kind, statement_kind::prepare);
    apply_event(connection_lost{first.connection, "reset"});
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::aborted);
    EXPECT_EQ(response.state, transaction_state::failed);
    open_connections();
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(session_fixture, failed_transaction_accepts_only_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    apply_event(connection_lost{run_until_statement_sent().connection, "reset"});
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(next_response().code, response_code::malformed);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::aborted);
    EXPECT_EQ(response.state, transaction_state::none);
}

TEST_F(session_fixture, commit_of_writes_on_a_lost_connection_has_an_unknown_outcome)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement commit = next_sent_statement();
    take_effects<send_response>();
    apply_event(connection_lost{commit.connection, "reset"});
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
}

TEST_F(session_fixture, single_write_on_a_lost_connection_is_not_retried)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    apply_event(connection_lost{run_until_statement_sent().connection, "reset"});
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
    advance_time(milliseconds{500});
    open_connections();
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(session_fixture, read_on_a_lost_connection_is_retried_on_another_server)
{
    record_sample({3, 40});
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const send_statement first = run_until_statement_sent();
    apply_event(connection_lost{first.connection, "reset"});
    EXPECT_TRUE(take_effects<send_response>().empty());
    const send_statement second = run_until_statement_sent();
    EXPECT_NE(server_of(second.connection), server_of(first.connection));
}

TEST_F(session_fixture, commit_answered_after_its_term_was_closed_is_not_acknowledged)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement write = run_until_statement_sent();
    m_view.groups[group_name{"orders"}].is_open = false;
    publish();
    respond_done(write.connection);
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
}

TEST_F(session_fixture, hold_stops_new_statements_for_the_primary_and_reports_when_no_work_is_left)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement write = run_until_statement_sent();
    take_effects<report_to_control>();
    m_view.groups[group_name{"orders"}].is_held = true;
    publish();
    auto reports = take_effects<report_to_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports.back().holds[group_name{"orders"}], (hold_progress{3, 1}));
    respond_done(write.connection);
    take_effects<send_response>();
    reports = take_effects<report_to_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports.back().holds[group_name{"orders"}], (hold_progress{3, 0}));
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(session_fixture, leaving_replica_gets_no_new_statements)
{
    record_sample({3, 40});
    advance_time(milliseconds{30});
    m_view.servers[backend_server_name{"second"}].is_leaving = true;
    publish();
    for (int at = 0; at < 4; ++at) {
        const session_number session = open("catalogue");
        submit(session, make_statement(statement_kind::read, "READ 1"));
        open_connections();
        for (const send_statement& run : take_effects<send_statement>()) {
            EXPECT_NE(server_of(run.connection), "second");
        }
    }
}

TEST_F(session_fixture, transaction_of_a_closed_session_is_rolled_back_before_its_connection_is_reused)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement write = run_until_statement_sent();
    respond_done(write.connection, transaction_state::open);
    apply_event(session_closed{session});
    const send_statement rollback = next_sent_statement();
    EXPECT_EQ(rollback.connection, write.connection);
    EXPECT_EQ(rollback.body.kind, statement_kind::rollback);
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number next = open("ledger");
    submit(next, make_statement(statement_kind::read, "READ 1"));
    open_connections();
    EXPECT_TRUE(take_effects<send_statement>().empty());
    respond_done(rollback.connection);
    EXPECT_EQ(next_sent_statement().body.text, "READ 1");
}

TEST_F(session_fixture, primary_that_does_not_answer_is_suspected)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    advance_time(primary_suspicion_timeout);
    const auto suspected = take_effects<report_suspected_primary>();
    ASSERT_EQ(suspected.size(), 1U);
    EXPECT_EQ(suspected[0].server.value, "first");
    EXPECT_EQ(suspected[0].term, 3U);
}

TEST_F(session_fixture, stop_closes_idle_sessions_after_the_balancer_delay)
{
    const session_number session = open("ledger");
    apply_event(stop_requested{milliseconds{6000}});
    EXPECT_TRUE(take_effects<close_session>().empty());
    submit(session, make_statement(statement_kind::read, "READ 1"));
    respond_done(run_until_statement_sent().connection);
    EXPECT_EQ(next_response().code, response_code::done);
    advance_time(balancer_delay);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
    EXPECT_EQ(take_effects<report_stopped>().size(), 1U);
}

TEST_F(session_fixture, stop_aborts_open_transactions_after_half_of_its_time)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection, transaction_state::open);
    take_effects<send_response>();
    apply_event(stop_requested{milliseconds{6000}});
    advance_time(balancer_delay);
    EXPECT_TRUE(take_effects<close_session>().empty());
    advance_time(milliseconds{3000} - balancer_delay);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    EXPECT_EQ(next_response().code, response_code::aborted);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
}

TEST_F(session_fixture, pipelined_statements_are_answered_in_order)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    submit(session, set_value("a", "b"));
    const send_statement read = run_until_statement_sent();
    EXPECT_TRUE(take_effects<send_response>().empty());
    respond_done(read.connection);
    const auto answers = take_effects<send_response>();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].response.detail, m_last_signature);
    EXPECT_EQ(answers[1].response.code, response_code::done);
}

TEST_F(session_fixture, session_requested_before_the_first_configuration_opens_when_it_arrives)
{
    m_state = session_state{};
    const session_number session = open("ledger");
    EXPECT_TRUE(take_effects<refuse_session>().empty());
    advance_time(milliseconds{700});
    publish();
    const auto accepted = take_effects<accept_session>();
    ASSERT_EQ(accepted.size(), 1U);
    EXPECT_EQ(accepted[0].session, session);
}

TEST_F(session_fixture, session_requested_without_a_configuration_is_refused_after_the_time_limit)
{
    m_state = session_state{};
    open("ledger");
    advance_time(session_open_timeout);
    ASSERT_EQ(take_effects<refuse_session>().size(), 1U);
}

TEST_F(session_fixture, server_that_refuses_a_connection_is_not_suspected)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    apply_event(connection_refused{opened[0].connection, response_code::too_many_connections});
    EXPECT_TRUE(take_effects<report_suspected_primary>().empty());
    advance_time(reconnect_backoff);
    EXPECT_EQ(take_effects<open_connection>().size(), 1U);
}

TEST_F(session_fixture, statement_for_a_primary_that_only_this_host_cannot_reach_is_refused_at_once)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    for (milliseconds passed{0}; passed < isolation_delay; passed += milliseconds{100}) {
        for (const open_connection& opened : take_effects<open_connection>()) {
            apply_event(connection_lost{opened.connection, "unreachable"});
        }
        advance_time(milliseconds{100});
    }
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(session_fixture, statement_for_the_primary_is_refused_at_once_long_after_the_lease_ended)
{
    m_view.lease_until = m_now;
    publish();
    advance_time(isolation_delay);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, response_code::busy);
}

TEST_F(session_fixture, commit_unanswered_for_longer_than_a_full_queue_takes_is_reported_as_stalled)
{
    const session_number writer = open("ledger");
    submit(writer, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    advance_time(stalled_commit_timeout - milliseconds{1});
    for (const report_suspected_primary& early : take_effects<report_suspected_primary>()) {
        EXPECT_FALSE(early.are_commits_stalled);
    }
    advance_time(milliseconds{1});
    const auto suspected = take_effects<report_suspected_primary>();
    ASSERT_FALSE(suspected.empty());
    EXPECT_TRUE(suspected.back().are_commits_stalled);
}

TEST_F(session_fixture, connection_of_a_read_that_is_retried_elsewhere_is_kept_and_reused)
{
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const connection_number slow = run_until_statement_sent().connection;
    advance_time(read_retry_delay);
    EXPECT_TRUE(take_effects<close_connection>().empty());
    respond_done(run_until_statement_sent().connection);
    next_response();
    respond_done(slow);
    EXPECT_TRUE(take_effects<send_response>().empty());
    EXPECT_EQ(m_state.connections.at(slow).stage, connection_stage::idle);
}

TEST_F(session_fixture, server_with_a_full_queue_is_sent_fewer_statements_and_the_others_stay_queued)
{
    std::vector<session_number> sessions;
    for (int at = 0; at < 3; ++at) {
        sessions.push_back(open("ledger"));
        submit(sessions.back(), make_statement(statement_kind::read, "READ 1"));
    }
    open_connections();
    const auto sent = take_effects<send_statement>();
    ASSERT_GE(sent.size(), 2U);
    server_load& load = m_state.server_loads[backend_server_name{"first"}];
    load.limit.allowed = 2;
    respond_error(sent[0].connection, response_code::busy);
    EXPECT_LT(load.limit.allowed, 2);
    advance_time(refusal_backoff);
    EXPECT_TRUE(take_effects<send_statement>().empty());
    respond_done(sent[1].connection);
    EXPECT_EQ(take_effects<send_statement>().size(), 1U);
}

TEST_F(session_fixture, idle_transaction_is_ended_when_other_statements_wait_for_a_connection)
{
    const milliseconds limit = m_view.configuration->content.transaction_idle_timeout;
    const session_number idle_session = open("ledger");
    submit(idle_session, make_statement(statement_kind::begin));
    submit(idle_session, make_statement(statement_kind::write, "WRITE 1 a"));
    take_effects<send_response>();
    respond_done(run_until_statement_sent(transaction_state::open).connection, transaction_state::open);
    take_effects<send_response>();
    advance_time(limit);
    EXPECT_TRUE(m_state.sessions.at(idle_session).transaction->connection != 0);
    m_state.server_loads[backend_server_name{"first"}].connect_after = m_now + limit;
    const session_number waiting = open("ledger");
    submit(waiting, make_statement(statement_kind::write, "WRITE 2 b"));
    advance_time(milliseconds{1});
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].body.kind, statement_kind::rollback);
    EXPECT_TRUE(take_effects<send_response>().empty());
    submit(idle_session, make_statement(statement_kind::write, "WRITE 1 c"));
    EXPECT_EQ(next_response().code, response_code::aborted);
    submit(idle_session, make_statement(statement_kind::rollback, "ROLLBACK"));
    EXPECT_EQ(next_response().code, response_code::done);
}

TEST_F(session_fixture, idle_transactions_do_not_count_as_statements_in_flight)
{
    for (int at = 0; at < 2; ++at) {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::begin));
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        take_effects<send_response>();
        respond_done(run_until_statement_sent(transaction_state::open).connection, transaction_state::open);
    }
    const server_load& load = m_state.server_loads[backend_server_name{"first"}];
    EXPECT_EQ(load.connections_in_use, 2U);
    EXPECT_EQ(load.in_flight, 0U);
}

TEST_F(session_fixture, statement_that_waits_on_a_lost_connection_is_prepared_once_on_the_next)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin));
    next_response();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement refused = run_until_statement_sent(transaction_state::open);
    respond_error(refused.connection, response_code::busy, transaction_state::open);
    apply_event(connection_lost{refused.connection, "closed by the peer"});
    advance_time(refusal_backoff);
    open_connections();
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().body.kind, statement_kind::begin);
    respond_done(sent.front().connection, transaction_state::open);
    const send_statement run = next_sent_statement();
    EXPECT_EQ(run.body.text, "WRITE 1 a");
    respond_done(run.connection, transaction_state::open);
    EXPECT_EQ(next_response().detail, m_last_signature);
}

class prepared_connection_fixture : public session_fixture
{
protected:
    /// Submits a prepared read and returns the statement that prepares its connection to the primary.
    send_statement start_prepared_read()
    {
        const session_number session = open("ledger");
        submit(session, prepare("a", true, "shape"));
        take_effects<send_response>();
        submit(session, execute("a", "1"));
        return next_sent_statement();
    }
};

TEST_F(prepared_connection_fixture, read_whose_term_closes_meanwhile_is_not_sent_to_that_primary)
{
    const send_statement preparation = start_prepared_read();
    ASSERT_EQ(preparation.body.kind, statement_kind::prepare);
    m_view.groups[group_name{"orders"}].is_open = false;
    m_view.groups[group_name{"orders"}].closed_term = 3;
    publish();
    respond_done(preparation.connection);
    EXPECT_TRUE(take_effects<send_statement>().empty());
    EXPECT_TRUE(take_effects<send_response>().empty());
}

TEST_F(prepared_connection_fixture, read_whose_primary_is_replaced_meanwhile_runs_at_the_new_one)
{
    const send_statement preparation = start_prepared_read();
    ASSERT_EQ(preparation.body.kind, statement_kind::prepare);
    m_view.groups[group_name{"orders"}] = {backend_server_name{"second"}, 4, true, false, 3};
    publish();
    respond_done(preparation.connection);
    advance_time(refusal_backoff);
    const send_statement sent = run_until_statement_sent();
    EXPECT_EQ(server_of(sent.connection), "second");
}
/// Guards against a refusal that is taken for the answer to the statement before it.
TEST_F(session_fixture, malformed_line_behind_an_unanswered_statement_is_refused_in_its_turn)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const connection_number connection = run_until_statement_sent().connection;
    apply_event(malformed_statement_received{session});
    EXPECT_TRUE(take_effects<send_response>().empty());
    respond_done(connection);
    const auto responses = take_effects<send_response>();
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_EQ(responses[0].response.code, response_code::done);
    EXPECT_EQ(responses[1].response.code, response_code::malformed);
}

class primary_use_log_fixture : public session_fixture
{
protected:
    /// Runs one read at the primary and returns the text of its log record, empty without one.
    std::string logged_use()
    {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::read, "READ 1"));
        respond_done(run_until_statement_sent().connection);
        apply_event(session_closed{session});
        take_effects<send_response>();
        std::string text;
        for (const logging::log_record& record : take_effects<logging::log_record>()) {
            text = record.step == "use_primary" ? record.text : text;
        }
        return text;
    }
};

TEST_F(primary_use_log_fixture, statement_sent_after_the_lease_is_granted_again_is_logged_with_the_belief)
{
    EXPECT_EQ(logged_use(), "");
    m_view.lease_until = m_now;
    publish();
    m_view.revision = 7;
    m_view.lease_until = m_now + milliseconds{500};
    publish();
    EXPECT_EQ(logged_use(), "id=id2 group=orders term=3 open=true revision=7 lease_ms=500");
    advance_time(milliseconds{1000});
    m_view.lease_until = m_now + milliseconds{500};
    publish();
    EXPECT_NE(logged_use(), "");
}

TEST_F(primary_use_log_fixture, statement_sent_long_after_the_change_of_term_is_not_logged)
{
    m_view.groups[group_name{"orders"}].term = 4;
    publish();
    EXPECT_NE(logged_use(), "");
    advance_time(milliseconds{1000});
    EXPECT_EQ(logged_use(), "");
}

TEST_F(primary_use_log_fixture, number_of_logged_statements_after_a_change_is_bounded)
{
    m_view.groups[group_name{"orders"}].term = 4;
    publish();
    int logged = 0;
    for (int at = 0; at < 100; ++at) {
        logged += logged_use().empty() ? 0 : 1;
    }
    EXPECT_EQ(logged, 16);
}

TEST_F(primary_use_log_fixture, refused_statement_is_logged_with_the_belief)
{
    m_view.lease_until = m_now;
    publish();
    submit(open("ledger"), make_statement(statement_kind::read, "READ 1"));
    take_effects<logging::log_record>();
    advance_time(statement_timeout);
    const auto records = take_effects<logging::log_record>();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_NE(records[0].text.find(" term=3 open=true revision=0 lease_ms=0 "), std::string::npos)
        << records[0].text;
}

} // namespace hickorymount::sessions
