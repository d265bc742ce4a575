#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

TEST_F(session_fixture, unknown_database_is_refused)
{
    open("nowhere");
    const auto refused = take_effects<refuse_session>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, answer_code::unknown_database);
}

TEST_F(session_fixture, read_on_primary_database_runs_at_the_primary_and_is_passed_on_whole)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link run = run_until_statement_sent();
    EXPECT_EQ(server_of(run.link), "first");
    EXPECT_EQ(run.what.text, "READ 1");
    EXPECT_FALSE(run.least_position);
    answer_done(run.link);
    const answer got = next_answer();
    EXPECT_EQ(got.rows, std::vector<std::string>{"row"});
    EXPECT_EQ(got.detail, "signature");
    EXPECT_EQ(got.at, (group_position{3, 100}));
}

TEST_F(session_fixture, statement_waits_while_the_lease_is_over)
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

TEST_F(session_fixture, waiting_statement_is_refused_before_its_time_limit)
{
    m_view.lease_until = m_now;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_LE(m_wake, m_now + statement_timeout);
    pass(statement_timeout);
    EXPECT_EQ(next_answer().code, answer_code::busy);
}

TEST_F(session_fixture, read_without_a_connection_to_a_replica_runs_at_the_primary_and_asks_for_one)
{
    take_sample({3, 40});
    pass(milliseconds{100});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const auto runs = take_effects<run_on_link>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(server_of(runs[0].link), "first");
    const auto opened = take_effects<open_link>();
    ASSERT_FALSE(opened.empty());
    EXPECT_EQ(opened[0].server.value, "second");
}

TEST_F(session_fixture, read_of_bounded_age_goes_to_a_replica_with_the_position_it_needs)
{
    take_sample({3, 40});
    connect_to_replicas();
    pass(milliseconds{100});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link run = run_until_statement_sent();
    EXPECT_NE(server_of(run.link), "first");
    EXPECT_EQ(run.least_position, (group_position{3, 40}));
}

TEST_F(session_fixture, read_without_a_young_enough_sample_goes_to_the_primary)
{
    take_sample({3, 40});
    pass(staleness + milliseconds{1});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(session_fixture, read_after_own_write_asks_a_replica_for_that_write)
{
    const session_number session = open("inspections");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link, transaction_state::none, {3, 77});
    take_effects<answer_session>();
    take_sample({3, 50});
    connect_to_replicas();
    pass(milliseconds{30});
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link run = run_until_statement_sent();
    EXPECT_NE(server_of(run.link), "first");
    EXPECT_EQ(run.least_position, (group_position{3, 77}));
}

TEST_F(session_fixture, replica_that_lacks_the_position_is_followed_by_the_primary)
{
    take_sample({3, 40});
    connect_to_replicas();
    pass(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link behind = run_until_statement_sent();
    EXPECT_NE(server_of(behind.link), "first");
    answer_error(behind.link, answer_code::lagging);
    EXPECT_TRUE(take_effects<answer_session>().empty());
    pass(refusal_backoff);
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(session_fixture, values_of_a_session_are_set_before_its_statement_runs)
{
    const session_number session = open("ledger");
    submit(session, set_value("tz", "utc"));
    EXPECT_EQ(next_answer().code, answer_code::done);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    run_on_link run = next_run();
    EXPECT_EQ(run.what.kind, statement_kind::set_value);
    EXPECT_EQ(run.what.argument, "utc");
    answer_done(run.link);
    EXPECT_EQ(next_run().what.text, "READ 1");
}

TEST_F(session_fixture, connection_with_another_sessions_values_is_reset_first)
{
    const session_number first = open("ledger");
    submit(first, set_value("tz", "utc"));
    submit(first, make_statement(statement_kind::read, "READ 1"));
    answer_done(run_until_statement_sent().link);
    take_effects<answer_session>();
    m_view.servers[backend_server_name{"first"}].share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, make_statement(statement_kind::read, "READ 2"));
    EXPECT_EQ(next_run().what.kind, statement_kind::reset);
}

TEST_F(session_fixture, equal_prepared_statements_share_one_name_on_a_connection)
{
    const session_number first = open("ledger");
    submit(first, prepare("a", true, "shape"));
    submit(first, execute("a", "1"));
    run_on_link run = next_run();
    EXPECT_EQ(run.what.kind, statement_kind::prepare);
    const std::string shared = run.what.name;
    answer_done(run.link);
    run = next_run();
    EXPECT_EQ(run.what.name, shared);
    answer_done(run.link);
    m_view.servers[backend_server_name{"first"}].share = 1;
    publish();
    const session_number second = open("ledger");
    submit(second, prepare("other", true, "shape"));
    submit(second, execute("other", "2"));
    run = next_run();
    EXPECT_EQ(run.what.kind, statement_kind::execute);
    EXPECT_EQ(run.what.name, shared);
}

TEST_F(session_fixture, unknown_prepared_name_is_refused_without_a_server)
{
    const session_number session = open("ledger");
    submit(session, execute("missing", "1"));
    EXPECT_EQ(next_answer().code, answer_code::unknown_statement);
}

TEST_F(session_fixture, transaction_stays_on_one_connection_to_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    EXPECT_EQ(next_answer().state, transaction_state::open);
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    answer_done(write.link, transaction_state::open);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link read = next_run();
    EXPECT_EQ(read.link, write.link);
    answer_done(read.link, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const run_on_link commit = next_run();
    EXPECT_EQ(commit.link, write.link);
    answer_done(commit.link, transaction_state::none, {3, 101});
    EXPECT_EQ(take_effects<answer_session>().back().whole.state, transaction_state::none);
    EXPECT_EQ(m_state.commit_positions[group_name{"orders"}], (group_position{3, 101}));
    EXPECT_TRUE(take_effects<close_link>().empty());
    EXPECT_EQ(m_state.connections.at(commit.link).stage, connection_stage::idle);
}

TEST_F(session_fixture, read_transaction_whose_connection_is_lost_midway_is_aborted_and_not_moved)
{
    take_sample({3, 40});
    pass(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::begin_read, "BEGIN READ"));
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link first = run_until_statement_sent();
    answer_done(first.link, transaction_state::open);
    take_effects<answer_session>();
    submit(session, prepare("s", true, "shape"));
    take_effects<answer_session>();
    submit(session, execute("s", "1"));
    EXPECT_EQ(next_run().what.kind, statement_kind::prepare);
    feed(link_lost{first.link, "reset"});
    const answer got = next_answer();
    EXPECT_EQ(got.code, answer_code::aborted);
    EXPECT_EQ(got.state, transaction_state::failed);
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
}

TEST_F(session_fixture, failed_transaction_takes_nothing_but_its_end)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    feed(link_lost{run_until_statement_sent().link, "reset"});
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(next_answer().code, answer_code::malformed);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const answer got = next_answer();
    EXPECT_EQ(got.code, answer_code::aborted);
    EXPECT_EQ(got.state, transaction_state::none);
}

TEST_F(session_fixture, lost_commit_of_writes_has_an_unknown_outcome)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link, transaction_state::open);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const run_on_link commit = next_run();
    take_effects<answer_session>();
    feed(link_lost{commit.link, "reset"});
    EXPECT_EQ(next_answer().code, answer_code::outcome_unknown);
}

TEST_F(session_fixture, lost_single_write_is_never_sent_again)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    feed(link_lost{run_until_statement_sent().link, "reset"});
    EXPECT_EQ(next_answer().code, answer_code::outcome_unknown);
    pass(milliseconds{500});
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
}

TEST_F(session_fixture, lost_read_is_tried_on_another_server)
{
    take_sample({3, 40});
    pass(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const run_on_link first = run_until_statement_sent();
    feed(link_lost{first.link, "reset"});
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
    answer_done(write.link);
    EXPECT_EQ(next_answer().code, answer_code::outcome_unknown);
}

TEST_F(session_fixture, hold_keeps_new_work_from_the_primary_and_tells_when_it_is_clear)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    take_effects<tell_control>();
    m_view.groups[group_name{"orders"}].is_held = true;
    publish();
    auto told = take_effects<tell_control>();
    ASSERT_FALSE(told.empty());
    EXPECT_EQ(told.back().holds[group_name{"orders"}], (hold_progress{3, 1}));
    answer_done(write.link);
    take_effects<answer_session>();
    told = take_effects<tell_control>();
    ASSERT_FALSE(told.empty());
    EXPECT_EQ(told.back().holds[group_name{"orders"}], (hold_progress{3, 0}));
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    EXPECT_TRUE(take_effects<run_on_link>().empty());
}

TEST_F(session_fixture, leaving_replica_gets_no_new_work)
{
    take_sample({3, 40});
    pass(milliseconds{30});
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

TEST_F(session_fixture,
       caller_that_leaves_in_a_transaction_has_it_rolled_back_before_the_connection_is_used_again)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link write = run_until_statement_sent();
    answer_done(write.link, transaction_state::open);
    feed(session_closed{session});
    const run_on_link rollback = next_run();
    EXPECT_EQ(rollback.link, write.link);
    EXPECT_EQ(rollback.what.kind, statement_kind::rollback);
    m_view.servers[backend_server_name{"first"}].share = 1;
    publish();
    const session_number next = open("ledger");
    submit(next, make_statement(statement_kind::read, "READ 1"));
    open_connections();
    EXPECT_TRUE(take_effects<run_on_link>().empty());
    answer_done(rollback.link);
    EXPECT_EQ(next_run().what.text, "READ 1");
}

TEST_F(session_fixture, unanswered_primary_is_suspected)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    pass(primary_suspicion_timeout);
    const auto suspected = take_effects<suspect_primary>();
    ASSERT_EQ(suspected.size(), 1U);
    EXPECT_EQ(suspected[0].server.value, "first");
    EXPECT_EQ(suspected[0].term, 3U);
}

TEST_F(session_fixture, stop_ends_idle_sessions_after_the_balancer_has_learned_of_it)
{
    const session_number session = open("ledger");
    feed(stop_asked{milliseconds{6000}});
    EXPECT_TRUE(take_effects<close_session>().empty());
    submit(session, make_statement(statement_kind::read, "READ 1"));
    answer_done(run_until_statement_sent().link);
    EXPECT_EQ(next_answer().code, answer_code::done);
    pass(balancer_delay);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
    EXPECT_EQ(take_effects<all_stopped>().size(), 1U);
}

TEST_F(session_fixture, stop_gives_open_transactions_half_of_the_time)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::begin, "BEGIN"));
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link, transaction_state::open);
    take_effects<answer_session>();
    feed(stop_asked{milliseconds{6000}});
    pass(balancer_delay);
    EXPECT_TRUE(take_effects<close_session>().empty());
    pass(milliseconds{3000} - balancer_delay);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    EXPECT_EQ(next_answer().code, answer_code::aborted);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
}

TEST_F(session_fixture, statements_sent_ahead_are_answered_in_order)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    submit(session, set_value("a", "b"));
    const run_on_link read = run_until_statement_sent();
    EXPECT_TRUE(take_effects<answer_session>().empty());
    answer_done(read.link);
    const auto answers = take_effects<answer_session>();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].whole.detail, "signature");
    EXPECT_EQ(answers[1].whole.code, answer_code::done);
}

TEST_F(session_fixture, session_asked_for_before_the_first_configuration_opens_with_it)
{
    m_state = session_state{};
    const session_number session = open("ledger");
    EXPECT_TRUE(take_effects<refuse_session>().empty());
    pass(milliseconds{700});
    publish();
    const auto accepted = take_effects<accept_session>();
    ASSERT_EQ(accepted.size(), 1U);
    EXPECT_EQ(accepted[0].session, session);
}

TEST_F(session_fixture, session_asked_for_without_any_configuration_is_refused_in_time)
{
    m_state = session_state{};
    open("ledger");
    pass(session_open_timeout);
    ASSERT_EQ(take_effects<refuse_session>().size(), 1U);
}

TEST_F(session_fixture, server_that_refuses_a_connection_is_not_suspected)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const auto opened = take_effects<open_link>();
    ASSERT_EQ(opened.size(), 1U);
    feed(link_refused{opened[0].link, answer_code::too_many});
    EXPECT_TRUE(take_effects<suspect_primary>().empty());
    pass(reconnect_backoff);
    EXPECT_EQ(take_effects<open_link>().size(), 1U);
}

TEST_F(session_fixture, work_for_a_primary_that_only_this_host_can_not_reach_is_refused_at_once)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    for (milliseconds passed{0}; passed < isolation_delay; passed += milliseconds{100}) {
        for (const open_link& opened : take_effects<open_link>()) {
            feed(link_lost{opened.link, "unreachable"});
        }
        pass(milliseconds{100});
    }
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
    pass(milliseconds{1});
    EXPECT_EQ(next_answer().code, answer_code::busy);
}

TEST_F(session_fixture, work_for_the_primary_is_refused_at_once_long_after_the_lease_was_lost)
{
    m_view.lease_until = m_now;
    publish();
    pass(isolation_delay);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    pass(milliseconds{1});
    EXPECT_EQ(next_answer().code, answer_code::busy);
}

TEST_F(session_fixture, commit_that_waits_longer_than_a_queue_can_take_is_reported_as_stalled)
{
    const session_number writer = open("ledger");
    submit(writer, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    pass(stalled_commit_timeout - milliseconds{1});
    for (const suspect_primary& early : take_effects<suspect_primary>()) {
        EXPECT_FALSE(early.is_stalled);
    }
    pass(milliseconds{1});
    const auto suspected = take_effects<suspect_primary>();
    ASSERT_FALSE(suspected.empty());
    EXPECT_TRUE(suspected.back().is_stalled);
}

TEST_F(session_fixture, connection_of_a_read_that_is_tried_elsewhere_is_kept_and_used_again)
{
    take_sample({3, 40});
    connect_to_replicas();
    pass(milliseconds{30});
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    const link_number slow = run_until_statement_sent().link;
    pass(read_retry_delay);
    EXPECT_TRUE(take_effects<close_link>().empty());
    answer_done(run_until_statement_sent().link);
    next_answer();
    answer_done(slow);
    EXPECT_TRUE(take_effects<answer_session>().empty());
    EXPECT_EQ(m_state.connections.at(slow).stage, connection_stage::idle);
}

TEST_F(session_fixture, server_whose_queue_was_full_is_sent_less_and_the_rest_waits_here)
{
    std::vector<session_number> sessions;
    for (int at = 0; at < 3; ++at) {
        sessions.push_back(open("ledger"));
        submit(sessions.back(), make_statement(statement_kind::read, "READ 1"));
    }
    open_connections();
    const auto runs = take_effects<run_on_link>();
    ASSERT_GE(runs.size(), 2U);
    server_load& load = m_state.server_loads[backend_server_name{"first"}];
    load.limit.allowed = 2;
    answer_error(runs[0].link, answer_code::busy);
    EXPECT_LT(load.limit.allowed, 2);
    pass(refusal_backoff);
    EXPECT_TRUE(take_effects<run_on_link>().empty());
    answer_done(runs[1].link);
    EXPECT_EQ(take_effects<run_on_link>().size(), 1U);
}

TEST_F(session_fixture, transaction_that_rests_is_ended_when_others_wait_for_its_connection)
{
    const milliseconds limit = m_view.configuration->content.transaction_idle_timeout;
    const session_number resting = open("ledger");
    submit(resting, make_statement(statement_kind::begin));
    submit(resting, make_statement(statement_kind::write, "WRITE 1 a"));
    take_effects<answer_session>();
    answer_done(run_until_statement_sent(transaction_state::open).link, transaction_state::open);
    take_effects<answer_session>();
    pass(limit);
    EXPECT_TRUE(m_state.sessions.at(resting).transaction->connection != 0);
    m_state.server_loads[backend_server_name{"first"}].connect_after = m_now + limit;
    const session_number waiting = open("ledger");
    submit(waiting, make_statement(statement_kind::write, "WRITE 2 b"));
    pass(milliseconds{1});
    const auto runs = take_effects<run_on_link>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].what.kind, statement_kind::rollback);
    EXPECT_TRUE(take_effects<answer_session>().empty());
    submit(resting, make_statement(statement_kind::write, "WRITE 1 c"));
    EXPECT_EQ(next_answer().code, answer_code::aborted);
    submit(resting, make_statement(statement_kind::rollback, "ROLLBACK"));
    EXPECT_EQ(next_answer().code, answer_code::done);
}

TEST_F(session_fixture, transactions_that_rest_do_not_count_as_work_at_the_server)
{
    for (int at = 0; at < 2; ++at) {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::begin));
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        take_effects<answer_session>();
        answer_done(run_until_statement_sent(transaction_state::open).link, transaction_state::open);
    }
    const server_load& load = m_state.server_loads[backend_server_name{"first"}];
    EXPECT_EQ(load.connections_in_use, 2U);
    EXPECT_EQ(load.in_flight, 0U);
}

} // namespace hickorymount::sessions
