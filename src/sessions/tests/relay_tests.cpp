#include "sessions/internal/relay_choice.h"
#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

/// The host holds no connections to the group; two others of its zone and one elsewhere do.
class relay_fixture : public session_fixture
{
protected:
    relay_fixture() { follow(false); }

    void follow(bool is_direct)
    {
        protocol::relay_plan plan;
        plan.digest = 1;
        plan.hosts = {{host_name{"near-1"}, {"10.0.0.2", 7455}, availability_zone{"second"}},
                      {host_name{"near-2"}, {"10.0.0.3", 7455}, availability_zone{"second"}},
                      {host_name{"far"}, {"10.0.0.4", 7455}, availability_zone{"third"}}};
        plan.groups[group_name{"orders"}] = {is_direct, {0, 1, 2}};
        m_view.relays = shared_value(std::move(plan));
        publish();
    }

    /// The entry host that the next connection is opened to.
    std::string next_opened()
    {
        const auto opened = take_effects<open_link>();
        if (opened.size() != 1) {
            return "";
        }
        m_servers[opened[0].link] = opened[0].server.value;
        m_opened = opened[0];
        return opened[0].server.value;
    }

    open_link m_opened;
};

TEST_F(relay_fixture, statement_runs_at_a_host_of_the_own_zone_with_its_id_and_text)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened(), "near-1");
    EXPECT_EQ(m_opened.database, "ledger");
    feed(link_opened{m_opened.link});
    const run_on_link run = next_run();
    EXPECT_EQ(run.id, "id1");
    EXPECT_EQ(run.what.text, "WRITE 1 a");
    answer_done(run.link);
    const answer got = next_answer();
    EXPECT_EQ(got.code, answer_code::done);
    EXPECT_EQ(got.detail, "signature");
    EXPECT_EQ(got.at, (group_position{3, 100}));
}

TEST_F(relay_fixture, read_after_own_write_is_passed_on_with_the_position_of_that_write)
{
    const session_number session = open("inspections");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link, transaction_state::none, {3, 77});
    next_answer();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().least_position, (group_position{3, 77}));
}

TEST_F(relay_fixture, read_of_a_bounded_age_is_passed_on_without_a_position)
{
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().least_position, std::nullopt);
}

TEST_F(relay_fixture, values_and_transaction_of_a_session_are_brought_to_the_other_host)
{
    const session_number session = open("ledger");
    submit(session, set_value("colour", "red"));
    submit(session, make_statement(statement_kind::begin));
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const run_on_link set = next_run();
    EXPECT_EQ(set.what.kind, statement_kind::set_value);
    answer_done(set.link);
    const run_on_link begin = next_run();
    EXPECT_EQ(begin.what.kind, statement_kind::begin);
    answer_done(begin.link, transaction_state::open);
    const run_on_link write = next_run();
    EXPECT_EQ(write.what.text, "WRITE 1 a");
    answer_done(write.link, transaction_state::open);
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const run_on_link commit = next_run();
    EXPECT_EQ(commit.link, write.link);
    answer_done(commit.link);
    EXPECT_EQ(next_answer().code, answer_code::done);
}

TEST_F(relay_fixture, statement_is_passed_on_without_a_lease_of_the_host_itself)
{
    m_view.lease_until = m_now - isolation_delay;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link);
    EXPECT_EQ(next_answer().code, answer_code::done);
}

TEST_F(relay_fixture, host_that_can_not_be_reached_is_followed_by_the_next)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened(), "near-1");
    pass(relay_connect_timeout);
    EXPECT_EQ(next_opened(), "near-2");
    feed(link_opened{m_opened.link});
    answer_done(next_run().link);
    EXPECT_EQ(next_answer().code, answer_code::done);
}

TEST_F(relay_fixture, refusal_by_one_host_is_tried_at_the_next)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_error(run_until_statement_sent().link, answer_code::busy);
    pass(refusal_backoff);
    EXPECT_EQ(next_opened(), "near-2");
}

TEST_F(relay_fixture, read_at_a_silent_host_is_tried_at_the_next)
{
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    run_until_statement_sent();
    pass(relay_silence_timeout);
    EXPECT_EQ(next_opened(), "near-2");
    EXPECT_TRUE(take_effects<answer_session>().empty());
}

TEST_F(relay_fixture, write_at_a_silent_host_is_not_tried_again)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    pass(relay_silence_timeout);
    EXPECT_EQ(next_opened(), "");
    EXPECT_TRUE(take_effects<answer_session>().empty());
    pass(statement_timeout - relay_silence_timeout);
    EXPECT_EQ(next_answer().code, answer_code::outcome_unknown);
}

TEST_F(relay_fixture, new_work_leaves_a_silent_host_alone)
{
    const session_number first = open("ledger");
    submit(first, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "near-1");
    pass(relay_silence_timeout);
    const session_number second = open("ledger");
    submit(second, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened(), "near-2");
}

TEST_F(relay_fixture, waiting_statement_opens_one_connection_however_often_it_is_looked_at)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    pass(milliseconds{10});
    pass(milliseconds{10});
    EXPECT_EQ(take_effects<open_link>().size(), 1U);
}

TEST_F(relay_fixture, write_whose_host_is_lost_has_an_unknown_outcome)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    feed(link_lost{run_until_statement_sent().link, "reset"});
    EXPECT_EQ(next_answer().code, answer_code::outcome_unknown);
}

TEST_F(relay_fixture, host_with_connections_of_its_own_uses_them)
{
    follow(true);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(relay_fixture, host_that_has_lost_its_lease_turns_to_others_instead_of_refusing)
{
    follow(true);
    m_view.lease_until = m_now - isolation_delay;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "near-1");
}

TEST_F(relay_fixture, statement_that_was_passed_on_is_not_passed_on_again)
{
    const session_number session = m_next_session++;
    feed(session_opened{session, "ledger", true});
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().link), "first");
}

TEST_F(relay_fixture, statement_that_was_passed_on_reads_what_it_was_given_to_read_after)
{
    follow(true);
    take_sample({3, 40});
    connect_to_replicas();
    pass(milliseconds{30});
    const session_number session = m_next_session++;
    feed(session_opened{session, "inspections", true});
    feed(statement_asked{session, "id9", make_statement(statement_kind::read, "READ 1"),
                         group_position{3, 90}});
    EXPECT_EQ(run_until_statement_sent().least_position, (group_position{3, 90}));
}

TEST_F(relay_fixture, commits_of_one_caller_do_not_hold_up_reads_of_another_that_shares_the_session)
{
    follow(true);
    take_sample({3, 40});
    pass(milliseconds{30});
    const session_number session = m_next_session++;
    feed(session_opened{session, "inspections", true});
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link, transaction_state::none, {3, 77});
    take_effects<answer_session>();
    connect_to_replicas();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().least_position, (group_position{3, 40}));
}

TEST_F(relay_fixture, reset_by_another_host_forgets_values_and_prepared_statements)
{
    follow(true);
    const session_number session = m_next_session++;
    feed(session_opened{session, "ledger", true});
    submit(session, set_value("colour", "red"));
    submit(session, prepare("p1", true, "shape"));
    take_effects<answer_session>();
    submit(session, make_statement(statement_kind::reset));
    EXPECT_EQ(next_answer().code, answer_code::done);
    submit(session, execute("p1", "1"));
    EXPECT_EQ(next_answer().code, answer_code::unknown_statement);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(next_run().what.kind, statement_kind::read);
}

TEST_F(relay_fixture, reset_by_a_caller_is_no_statement)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::reset));
    EXPECT_EQ(next_answer().code, answer_code::malformed);
}

TEST_F(relay_fixture, idle_connections_to_a_host_that_left_the_plan_are_closed)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const link_number connection = run_until_statement_sent().link;
    answer_done(connection);
    m_view.relays = shared_value(protocol::relay_plan{});
    publish();
    const auto closed = take_effects<close_link>();
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed[0].link, connection);
}

TEST_F(relay_fixture, connections_to_hosts_are_not_told_to_control_as_connections_to_servers)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    answer_done(run_until_statement_sent().link);
    pass(report_interval);
    const auto told = take_effects<tell_control>();
    ASSERT_FALSE(told.empty());
    EXPECT_FALSE(told.back().uses.contains(backend_server_name{"near-1"}));
}

/// Choosing among hosts.
class relay_choice_fixture : public ::testing::Test
{
};

TEST_F(relay_choice_fixture, load_is_spread_over_the_zone_before_it_leaves_it)
{
    const auto ordered = detail::rank_relays(
        {{0, true, 5, false, false}, {1, true, 2, false, false}, {2, false, 0, false, false}});
    ASSERT_EQ(ordered.size(), 3U);
    EXPECT_EQ(ordered[0].plan_index, 1U);
    EXPECT_EQ(ordered[1].plan_index, 0U);
    EXPECT_EQ(ordered[2].plan_index, 2U);
}

TEST_F(relay_choice_fixture, hosts_that_seem_lost_or_have_refused_are_left_out)
{
    const auto ordered = detail::rank_relays(
        {{0, true, 0, true, false}, {1, true, 0, false, true}, {2, false, 9, false, false}});
    ASSERT_EQ(ordered.size(), 1U);
    EXPECT_EQ(ordered[0].plan_index, 2U);
}

} // namespace hickorymount::sessions
