#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

TEST_F(session_fixture, unknown_database_is_refused)
{
    open("nowhere");
    const auto refused = take_effects<refuse_session>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, answer_code::unknown_database);
}

TEST_F(session_fixture, read_on_primary_database_runs_at_the_primary_and_its_response_is_forwarded_unchanged)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link run = run_until_statement_sent();
    EXPECT_EQ(server_of(run.link), "first");
    EXPECT_EQ(run.what.text, "READ 1");
    EXPECT_FALSE(run.least_position);
    respond_done(run.link);
    const answer response = next_response();
    EXPECT_EQ(response.rows, std::vector<std::string>{"row"});
    EXPECT_EQ(response.detail, "signature");
    EXPECT_EQ(response.at, (group_position{3, 100}));
}

TEST_F(session_fixture, statement_waits_while_the_lease_has_ended)
{
    m_view.lease_until = m_now;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
    m_view.lease_until = m_now + milliseconds{1000};
    publish();
    open_connections();
    EXPECT_EQ(take_effects<run_on_link>().size(), 1U);
}

TEST_F(session_fixture, queued_statement_is_refused_before_its_deadline)
{
    m_view.lease_until = m_now;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_LE(m_wake, m_now + statement_timeout);
    advance_time(statement_timeout);
    EXPECT_EQ(next_response().code, answer_code::busy);
}

TEST_F(session_fixture, read_without_a_replica_connection_runs_at_the_primary_and_opens_one)
{
    record_sample({3, 40});
    advance_time(milliseconds{100});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const auto sent = take_effects<run_on_link>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(server_of(sent[0].link), "first");
    const auto opened = take_effects<open_link>();
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
    const run_on_link run = run_until_statement_sent();
    EXPECT_NE(server_of(run.link), "first");
    EXPECT_EQ(run.least_position, (group_position{3, 40}));
}

TEST_F(session_fixture, read_without_a_recent_sample_runs_at_the_primary)
{
    record_sample({3, 40});
    advance_time(staleness + milliseconds{1});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(session_fixture, read_after_own_write_requires_the_position_of_that_write_from_a_replica)
{
    const session_number session = open("inspections");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().link, transaction_state::none, {3, 77});
    take_effects<answer_session>();
    record_sample({3, 50});
    connect_to_replicas();
    advance_time(milliseconds{30});
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link run = run_until_statement_sent();
    EXPECT_NE(server_of(run.link), "first");
    EXPECT_EQ(run.least_position, (group_position{3, 77}));
}

TEST_F(session_fixture, read_refused_by_a_lagging_replica_is_retried_at_the_primary)
{
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link behind = run_until_statement_sent();
    EXPECT_NE(server_of(behind.link), "first");
    respond_error(behind.link, answer_code::lagging);
    EXPECT_TRUE(take_effects<answer_session>().empty());
    advance_time(refusal_backoff);
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(session_fixture, variables_of_a_session_are_set_before_its_statement_runs)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    EXPECT_EQ(next_response().code, answer_code::done);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    run_on_link run = next_sent_statement();
    EXPECT_EQ(run.what.kind, statement_kind::set_value);
    EXPECT_EQ(run.what.argument, "utc");
    respond_done(run.link);
    EXPECT_EQ(next_sent_statement().what.text, "READ 1");
}

TEST_F(session_fixture, connection_with_variables_of_another_session_is_reset_first)
{
    const session_number first = open("ledger");
    submit(first, set_value("tz", "utc"));
    submit(first, make_statement(statement_kind::read, "READ 1"));
    respond_done(run_until_statement_sent().link);
    take_effects<answer_session>();
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, make_statement(statement_kind::read, "READ 2"));
    EXPECT_EQ(next_sent_statement().what.kind, statement_kind::reset);
}

TEST_F(session_fixture, equal_prepared_statements_share_one_name_on_a_connection)
{
    const session_number first = open("ledger");
    submit(first, prepare("a", true, "shape"));
    submit(first, execute("a", "1"));
    run_on_link run = next_sent_statement();
    EXPECT_EQ(run.what.kind, statement_kind::prepare);
    const std::string shared = run.what.name;
    respond_done(run.link);
    run = next_sent_statement();
    EXPECT_EQ(run.what.name, shared);
    respond_done(run.link);
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, prepare("other", true, "shape"));
    submit(second, execute("other", "2"));
    run = next_sent_statement();
    EXPECT_EQ(run.what.kind, statement_kind::execute);
    EXPECT_EQ(run.what.name, shared);
}

TEST_F(session_fixture, unknown_prepared_name_is_refused_without_a_server)
{
    const session_number session = open("ledger");
    submit(session, execute("missing", "1"));
    EXPECT_EQ(next_response().code, answer_code::unknown_statement);
}

TEST_F(session_fixture, transaction_stays_on_one_connection_to_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    EXPECT_EQ(next_response().state, transaction_state::open);
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    respond_done(write.link, transaction_state::open);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link read = next_sent_statement();
    EXPECT_EQ(read.link, write.link);
    respond_done(read.link, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const run_on_link commit = next_sent_statement();
    EXPECT_EQ(commit.link, write.link);
    respond_done(commit.link, transaction_state::none, {3, 101});
    EXPECT_EQ(take_effects<answer_session>().back().whole.state, transaction_state::none);
    EXPECT_EQ(m_state.commit_positions[group_name{"orders"}], (group_position{3, 101}));
    EXPECT_TRUE(take_effects<close_link>().empty());
    EXPECT_EQ(m_state.connections.at(commit.link).stage, connection_stage::idle);
}

TEST_F(session_fixture, read_transaction_whose_connection_is_lost_midway_is_aborted_and_not_moved)
{
    record_sample({3, 40});
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::begin_read, "BEGIN READ"));
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link first = run_until_statement_sent();
    respond_done(first.link, transaction_state::open);
    take_effects<answer_session>();
    submit(session, prepare("s", true, "shape"));
    take_effects<answer_session>();
    submit(session, execute("s", "1"));
    EXPECT_EQ(next_sent_statement().what.kind, statement_kind::prepare);
    apply_event(link_lost{first.link, "reset"});
    const answer response = next_response();
    EXPECT_EQ(response.code, answer_code::aborted);
    EXPECT_EQ(response.state, transaction_state::failed);
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
}

TEST_F(session_fixture, failed_transaction_accepts_only_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    apply_event(link_lost{run_until_statement_sent().link, "reset"});
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(next_response().code, answer_code::malformed);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const answer response = next_response();
    EXPECT_EQ(response.code, answer_code::aborted);
    EXPECT_EQ(response.state, transaction_state::none);
}

TEST_F(session_fixture, commit_of_writes_on_a_lost_connection_has_an_unknown_outcome)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().link, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const run_on_link commit = next_sent_statement();
    take_effects<answer_session>();
    apply_event(link_lost{commit.link, "reset"});
    EXPECT_EQ(next_response().code, answer_code::outcome_unknown);
}

TEST_F(session_fixture, single_write_on_a_lost_connection_is_not_retried)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    apply_event(link_lost{run_until_statement_sent().link, "reset"});
    EXPECT_EQ(next_response().code, answer_code::outcome_unknown);
    advance_time(milliseconds{500});
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
}

TEST_F(session_fixture, read_on_a_lost_connection_is_retried_on_another_server)
{
    record_sample({3, 40});
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link first = run_until_statement_sent();
    apply_event(link_lost{first.link, "reset"});
    EXPECT_TRUE(take_effects<answer_session>().empty());
    const run_on_link second = run_until_statement_sent();
    EXPECT_NE(server_of(second.link), server_of(first.link));
}

TEST_F(session_fixture, commit_answered_after_its_term_was_closed_is_not_acknowledged)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    m_view.groups[group_name{"orders"}].is_open = false;
    publish();
    respond_done(write.link);
    EXPECT_EQ(next_response().code, answer_code::outcome_unknown);
}

TEST_F(session_fixture, hold_stops_new_statements_for_the_primary_and_reports_when_no_work_is_left)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    take_effects<tell_control>();
    m_view.groups[group_name{"orders"}].is_held = true;
    publish();
    auto reports = take_effects<tell_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports.back().holds[group_name{"orders"}], (hold_progress{3, 1}));
    respond_done(write.link);
    take_effects<answer_session>();
    reports = take_effects<tell_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports.back().holds[group_name{"orders"}], (hold_progress{3, 0}));
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    EXPECT_TRUE(take_effects<run_on_link>().empty());
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
        for (const run_on_link& run : take_effects<run_on_link>()) {
            EXPECT_NE(server_of(run.link), "second");
        }
    }
}

TEST_F(session_fixture, transaction_of_a_closed_session_is_rolled_back_before_its_connection_is_reused)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    respond_done(write.link, transaction_state::open);
    apply_event(session_closed{session});
    const run_on_link rollback = next_sent_statement();
    EXPECT_EQ(rollback.link, write.link);
    EXPECT_EQ(rollback.what.kind, statement_kind::rollback);
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    const session_number next = open("ledger");
    submit(next, make_statement(statement_kind::read, "READ 1"));
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
    respond_done(rollback.link);
    EXPECT_EQ(next_sent_statement().what.text, "READ 1");
}

TEST_F(session_fixture, primary_that_does_not_answer_is_suspected)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    advance_time(primary_suspicion_timeout);
    const auto suspected = take_effects<suspect_primary>();
    ASSERT_EQ(suspected.size(), 1U);
    EXPECT_EQ(suspected[0].server.value, "first");
    EXPECT_EQ(suspected[0].term, 3U);
}

TEST_F(session_fixture, stop_closes_idle_sessions_after_the_balancer_delay)
{
    const session_number session = open("ledger");
    apply_event(stop_asked{milliseconds{6000}});
    EXPECT_TRUE(take_effects<close_session>().empty());
    submit(session, make_statement(statement_kind::read, "READ 1"));
    respond_done(run_until_statement_sent().link);
    EXPECT_EQ(next_response().code, answer_code::done);
    advance_time(balancer_delay);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
    EXPECT_EQ(take_effects<all_stopped>().size(), 1U);
}

TEST_F(session_fixture, stop_aborts_open_transactions_after_half_of_its_time)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().link, transaction_state::open);
    take_effects<answer_session>();
    apply_event(stop_asked{milliseconds{6000}});
    advance_time(balancer_delay);
    EXPECT_TRUE(take_effects<close_session>().empty());
    advance_time(milliseconds{3000} - balancer_delay);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    EXPECT_EQ(next_response().code, answer_code::aborted);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
}

TEST_F(session_fixture, pipelined_statements_are_answered_in_order)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    submit(session, set_value("a", "b"));
    const run_on_link read = run_until_statement_sent();
    EXPECT_TRUE(take_effects<answer_session>().empty());
    respond_done(read.link);
    const auto answers = take_effects<answer_session>();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].whole.detail, "signature");
    EXPECT_EQ(answers[1].whole.code, answer_code::done);
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
    const auto opened = take_effects<open_link>();
    ASSERT_EQ(opened.size(), 1U);
    apply_event(link_refused{opened[0].link, answer_code::too_many});
    EXPECT_TRUE(take_effects<suspect_primary>().empty());
    advance_time(reconnect_backoff);
    EXPECT_EQ(take_effects<open_link>().size(), 1U);
}

TEST_F(session_fixture, statement_for_a_primary_that_only_this_host_cannot_reach_is_refused_at_once)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    for (milliseconds passed{0}; passed < isolation_delay; passed += milliseconds{100}) {
        for (const open_link& opened : take_effects<open_link>()) {
            apply_event(link_lost{opened.link, "unreachable"});
        }
        advance_time(milliseconds{100});
    }
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, answer_code::busy);
}

TEST_F(session_fixture, statement_for_the_primary_is_refused_at_once_long_after_the_lease_ended)
{
    m_view.lease_until = m_now;
    publish();
    advance_time(isolation_delay);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    advance_time(milliseconds{1});
    EXPECT_EQ(next_response().code, answer_code::busy);
}

TEST_F(session_fixture, commit_unanswered_for_longer_than_a_full_queue_takes_is_reported_as_stalled)
{
    const session_number writer = open("ledger");
    submit(writer, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    advance_time(stalled_commit_timeout - milliseconds{1});
    for (const suspect_primary& early : take_effects<suspect_primary>()) {
        EXPECT_FALSE(early.is_stalled);
    }
    advance_time(milliseconds{1});
    const auto suspected = take_effects<suspect_primary>();
    ASSERT_FALSE(suspected.empty());
    EXPECT_TRUE(suspected.back().is_stalled);
}

TEST_F(session_fixture, connection_of_a_read_that_is_retried_elsewhere_is_kept_and_reused)
{
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const link_number slow = run_until_statement_sent().link;
    advance_time(read_retry_delay);
    EXPECT_TRUE(take_effects<close_link>().empty());
    respond_done(run_until_statement_sent().link);
    next_response();
    respond_done(slow);
    EXPECT_TRUE(take_effects<answer_session>().empty());
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
    const auto sent = take_effects<run_on_link>();
    ASSERT_GE(sent.size(), 2U);
    server_load& load = m_state.server_loads[backend_server_name{"first"}];
    load.limit.allowed = 2;
    respond_error(sent[0].link, answer_code::busy);
    EXPECT_LT(load.limit.allowed, 2);
    advance_time(refusal_backoff);
    EXPECT_TRUE(take_effects<run_on_link>().empty());
    respond_done(sent[1].link);
    EXPECT_EQ(take_effects<run_on_link>().size(), 1U);
}

TEST_F(session_fixture, idle_transaction_is_ended_when_other_statements_wait_for_a_connection)
{
    const milliseconds limit = m_view.configuration->content.transaction_idle_timeout;
    const session_number idle_session = open("ledger");
    submit(idle_session, make_statement(statement_kind::begin));
    submit(idle_session, make_statement(statement_kind::write, "WRITE 1 a"));
    take_effects<answer_session>();
    respond_done(run_until_statement_sent(transaction_state::open).link, transaction_state::open);
    take_effects<answer_session>();
    advance_time(limit);
    EXPECT_TRUE(m_state.sessions.at(idle_session).transaction->connection != 0);
    m_state.server_loads[backend_server_name{"first"}].connect_after = m_now + limit;
    const session_number waiting = open("ledger");
    submit(waiting, make_statement(statement_kind::write, "WRITE 2 b"));
    advance_time(milliseconds{1});
    const auto sent = take_effects<run_on_link>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].what.kind, statement_kind::rollback);
    EXPECT_TRUE(take_effects<answer_session>().empty());
    submit(idle_session, make_statement(statement_kind::write, "WRITE 1 c"));
    EXPECT_EQ(next_response().code, answer_code::aborted);
    submit(idle_session, make_statement(statement_kind::rollback, "ROLLBACK"));
    EXPECT_EQ(next_response().code, answer_code::done);
}

TEST_F(session_fixture, idle_transactions_do_not_count_as_statements_in_flight)
{
    for (int at = 0; at < 2; ++at) {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::begin));
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        take_effects<answer_session>();
        respond_done(run_until_statement_sent(transaction_state::open).link, transaction_state::open);
    }
    const server_load& load = m_state.server_loads[backend_server_name{"first"}];
    EXPECT_EQ(load.connections_in_use, 2U);
    EXPECT_EQ(load.in_flight, 0U);
}

} // namespace hickorymount::sessions
