#include "sessions/internal/relay_ranking.h"
#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

/// The host has no direct connections to the group. Two hosts of its zone and one of another zone have them.
class relay_fixture : public session_fixture
{
protected:
    relay_fixture() { publish_relay_plan(false); }

    void publish_relay_plan(bool is_direct)
    {
        protocol::relay_plan plan;
        plan.digest = 1;
        plan.relays = {{host_name{"near-1"}, {"10.0.0.2", 7455}, availability_zone{"second"}},
                       {host_name{"near-2"}, {"10.0.0.3", 7455}, availability_zone{"second"}},
                       {host_name{"far"}, {"10.0.0.4", 7455}, availability_zone{"third"}}};
        plan.groups[group_name{"orders"}] = {is_direct, {0, 1, 2}};
        m_view.relay_plan = shared_value(std::move(plan));
        publish();
    }

    /// Name of the entry host that the next connection is opened to; empty when there is not exactly one.
    std::string next_opened_server()
    {
        const auto opened = take_effects<open_connection>();
        if (opened.size() != 1) {
            return "";
        }
        m_servers[opened[0].connection] = opened[0].server.value;
        m_opened = opened[0];
        return opened[0].server.value;
    }

    open_connection m_opened;
};

TEST_F(relay_fixture, statement_is_relayed_to_a_host_of_the_own_zone_with_its_id_and_text)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened_server(), "near-1");
    EXPECT_EQ(m_opened.database, "ledger");
    apply_event(connection_opened{m_opened.connection});
    const send_statement run = next_sent_statement();
    EXPECT_EQ(run.id, "id1");
    EXPECT_EQ(run.body.text, "WRITE 1 a");
    respond_done(run.connection);
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::done);
    EXPECT_EQ(response.detail, m_last_signature);
    EXPECT_EQ(response.position, (group_position{3, 100}));
}

TEST_F(relay_fixture, read_after_own_write_is_relayed_with_the_position_of_that_write)
{
    const session_number session = open("inspections");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection, transaction_state::none, {3, 77});
    next_response();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().minimum_position, (group_position{3, 77}));
}

TEST_F(relay_fixture, read_with_bounded_staleness_is_relayed_without_a_minimum_position)
{
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().minimum_position, std::nullopt);
}

TEST_F(relay_fixture, variables_and_transaction_of_a_session_are_set_up_at_the_relay)
{
    const session_number session = open("ledger");
    submit(session, set_value("colour", "red"));
    submit(session, make_statement(statement_kind::begin));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement set = next_sent_statement();
    EXPECT_EQ(set.body.kind, statement_kind::set_variable);
    respond_done(set.connection);
    const send_statement begin = next_sent_statement();
    EXPECT_EQ(begin.body.kind, statement_kind::begin);
    respond_done(begin.connection, transaction_state::open);
    const send_statement write = next_sent_statement();
    EXPECT_EQ(write.body.text, "WRITE 1 a");
    respond_done(write.connection, transaction_state::open);
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    const send_statement commit = next_sent_statement();
    EXPECT_EQ(commit.connection, write.connection);
    respond_done(commit.connection);
    EXPECT_EQ(next_response().code, response_code::done);
}

TEST_F(relay_fixture, statement_is_relayed_while_this_host_has_no_lease)
{
    m_view.lease_until = m_now - isolation_delay;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection);
    EXPECT_EQ(next_response().code, response_code::done);
}

TEST_F(relay_fixture, statement_for_an_unreachable_relay_goes_to_the_next)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened_server(), "near-1");
    advance_time(relay_connect_timeout);
    EXPECT_EQ(next_opened_server(), "near-2");
    apply_event(connection_opened{m_opened.connection});
    respond_done(next_sent_statement().connection);
    EXPECT_EQ(next_response().code, response_code::done);
}

TEST_F(relay_fixture, statement_refused_by_one_relay_is_retried_at_the_next)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_error(run_until_statement_sent().connection, response_code::busy);
    advance_time(refusal_backoff);
    EXPECT_EQ(next_opened_server(), "near-2");
}

TEST_F(relay_fixture, read_at_a_silent_relay_is_retried_at_the_next)
{
    const session_number session = open("catalogue");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    run_until_statement_sent();
    advance_time(relay_silence_timeout);
    EXPECT_EQ(next_opened_server(), "near-2");
    EXPECT_TRUE(take_effects<send_response>().empty());
}

TEST_F(relay_fixture, write_at_a_silent_relay_is_not_retried)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    run_until_statement_sent();
    advance_time(relay_silence_timeout);
    EXPECT_EQ(next_opened_server(), "");
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(statement_timeout - relay_silence_timeout);
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
}

TEST_F(relay_fixture, new_statement_avoids_a_silent_relay)
{
    const session_number first = open("ledger");
    submit(first, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "near-1");
    advance_time(relay_silence_timeout);
    const session_number second = open("ledger");
    submit(second, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(next_opened_server(), "near-2");
}

TEST_F(relay_fixture, queued_statement_opens_one_connection_however_often_it_is_checked)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    advance_time(milliseconds{10});
    advance_time(milliseconds{10});
    EXPECT_EQ(take_effects<open_connection>().size(), 1U);
}

TEST_F(relay_fixture, write_on_a_lost_relay_connection_has_an_unknown_outcome)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    apply_event(connection_lost{run_until_statement_sent().connection, "reset"});
    EXPECT_EQ(next_response().code, response_code::outcome_unknown);
}

TEST_F(relay_fixture, host_with_direct_connections_uses_them)
{
    publish_relay_plan(true);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "first");
}

TEST_F(relay_fixture, host_without_a_lease_relays_statements_instead_of_refusing_them)
{
    publish_relay_plan(true);
    m_view.lease_until = m_now - isolation_delay;
    publish();
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "near-1");
}

TEST_F(relay_fixture, relayed_statement_is_not_relayed_again)
{
    const session_number session = m_next_session++;
    apply_event(session_requested{session, "ledger", true});
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(run_until_statement_sent().connection), "first");
}

TEST_F(relay_fixture, relayed_read_requires_the_minimum_position_it_came_with)
{
    publish_relay_plan(true);
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{30});
    const session_number session = m_next_session++;
    apply_event(session_requested{session, "inspections", true});
    apply_event(statement_received{session, "id9", make_statement(statement_kind::read, "READ 1"),
                                   group_position{3, 90}});
    EXPECT_EQ(run_until_statement_sent().minimum_position, (group_position{3, 90}));
}

TEST_F(relay_fixture, commit_of_one_caller_does_not_raise_the_minimum_position_of_another_in_a_shared_session)
{
    publish_relay_plan(true);
    record_sample({3, 40});
    advance_time(milliseconds{30});
    const session_number session = m_next_session++;
    apply_event(session_requested{session, "inspections", true});
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection, transaction_state::none, {3, 77});
    take_effects<send_response>();
    connect_to_replicas();
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(run_until_statement_sent().minimum_position, (group_position{3, 40}));
}

TEST_F(relay_fixture, reset_by_another_host_clears_variables_and_prepared_statements)
{
    publish_relay_plan(true);
    const session_number session = m_next_session++;
    apply_event(session_requested{session, "ledger", true});
    submit(session, set_value("colour", "red"));
    submit(session, prepare("p1", true, "shape"));
    take_effects<send_response>();
    submit(session, make_statement(statement_kind::reset));
    EXPECT_EQ(next_response().code, response_code::done);
    submit(session, execute("p1", "1"));
    EXPECT_EQ(next_response().code, response_code::unknown_statement);
    submit(session, make_statement(statement_kind::read, "READ 1"));
    EXPECT_EQ(next_sent_statement().body.kind, statement_kind::read);
}

TEST_F(relay_fixture, reset_by_a_caller_is_malformed)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::reset));
    EXPECT_EQ(next_response().code, response_code::malformed);
}

TEST_F(relay_fixture, idle_connections_to_a_host_that_left_the_plan_are_closed)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    const connection_number connection = run_until_statement_sent().connection;
    respond_done(connection);
    m_view.relay_plan = shared_value(protocol::relay_plan{});
    publish();
    const auto closed = take_effects<close_connection>();
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed[0].connection, connection);
}

TEST_F(relay_fixture, relay_connections_are_not_reported_to_control_as_server_connections)
{
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    respond_done(run_until_statement_sent().connection);
    advance_time(report_interval);
    const auto reports = take_effects<report_to_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_FALSE(reports.back().connection_usage_by_server.contains(backend_server_name{"near-1"}));
}

/// Ranking of the entry hosts that may run a statement.
class relay_ranking_fixture : public ::testing::Test
{
};

TEST_F(relay_ranking_fixture, load_is_spread_over_the_own_zone_before_other_zones)
{
    const auto ordered = detail::rank_relays(
        {{0, true, 5, false, false}, {1, true, 2, false, false}, {2, false, 0, false, false}});
    ASSERT_EQ(ordered.size(), 3U);
    EXPECT_EQ(ordered[0].plan_index, 1U);
    EXPECT_EQ(ordered[1].plan_index, 0U);
    EXPECT_EQ(ordered[2].plan_index, 2U);
}

TEST_F(relay_ranking_fixture, avoided_and_already_tried_hosts_are_excluded)
{
    const auto ordered = detail::rank_relays(
        {{0, true, 0, true, false}, {1, true, 0, false, true}, {2, false, 9, false, false}});
    ASSERT_EQ(ordered.size(), 1U);
    EXPECT_EQ(ordered[0].plan_index, 2U);
}

/// Relays with measured loads.
class relay_load_fixture : public ::testing::Test
{
protected:
    static detail::relay_candidate relay(std::size_t plan_index, bool is_in_own_zone, std::uint32_t in_flight,
                                         double response_ms, std::uint64_t affinity = 0)
    {
        detail::relay_candidate made{plan_index, is_in_own_zone};
        made.in_flight = in_flight;
        made.response_ms = response_ms;
        made.affinity = affinity;
        return made;
    }

    static std::size_t best(std::vector<detail::relay_candidate> relays)
    {
        return detail::rank_relays(std::move(relays)).front().plan_index;
    }
};

// Guards against statements that queue at a host which has saturated its core or link.
TEST_F(relay_load_fixture, relay_with_fewer_statements_or_a_shorter_response_time_is_used)
{
    EXPECT_EQ(best({relay(0, true, 5, 30), relay(1, true, 2, 30)}), 1U);
    EXPECT_EQ(best({relay(0, true, 2, 90), relay(1, true, 2, 30)}), 1U);
    EXPECT_EQ(best({relay(0, true, 9, 90), relay(1, false, 0, 30)}), 0U);
}

TEST_F(relay_load_fixture, relay_without_measurements_is_tried_but_not_flooded)
{
    EXPECT_EQ(best({relay(0, true, 1, 30), relay(1, true, 0, 0)}), 1U);
    EXPECT_EQ(best({relay(0, true, 1, 30), relay(1, true, 2, 0)}), 0U);
}

// Guards against the pooled connections of small customers being spread over all relays.
TEST_F(relay_load_fixture, relay_of_the_customer_is_used_until_it_is_clearly_busier)
{
    EXPECT_EQ(best({relay(0, true, 3, 30, 7), relay(1, true, 0, 30, 5)}), 0U);
    EXPECT_EQ(best({relay(0, true, 12, 30, 7), relay(1, true, 2, 30, 5)}), 1U);
    EXPECT_EQ(best({relay(0, true, 1, 400, 7), relay(1, true, 1, 30, 5)}), 1U);
    EXPECT_EQ(best({relay(0, true, 0, 30, 1), relay(1, false, 0, 30, 9)}), 0U);
}

TEST_F(relay_load_fixture, customers_are_spread_over_the_relays_and_each_keeps_its_relay)
{
    int at_first = 0;
    for (int number = 0; number < 200; ++number) {
        const customer_name customer{"customer-" + std::to_string(number)};
        const auto rank_of = [&](const char* relay) {
            return detail::relay_affinity(group_name{"orders"}, customer, backend_server_name{relay});
        };
        at_first += rank_of("near-1") > rank_of("near-2") ? 1 : 0;
        EXPECT_EQ(rank_of("near-1"), rank_of("near-1"));
    }
    EXPECT_GT(at_first, 70);
    EXPECT_LT(at_first, 130);
}

// Guards against statements that wait for the hosts of their zone while those of another zone are idle, and
// against leaving the zone without need.
TEST_F(relay_fixture, statements_leave_the_zone_only_when_its_relays_are_overloaded)
{
    const auto set_times = [&](const char* relay, int ms, int queueing) {
        server_load& load = m_state.server_loads[backend_server_name{relay}];
        load.is_relay = true;
        load.times = {};
        for (int at = 0; at < 30; ++at) {
            load.times = after_exchange(load.times, milliseconds{1}, m_now);
            load.times = after_statement(load.times, work_kind::read, milliseconds{ms}, m_now);
        }
        for (int at = 0; at < (queueing > 0 ? 30 : 0); ++at) {
            load.times = after_statement(load.times, work_kind::read, milliseconds{ms + queueing}, m_now);
        }
    };
    const auto relay_of_next_read = [&] {
        const session_number session = open("catalogue");
        submit(session, make_statement(statement_kind::read, "READ 1"));
        const send_statement run = run_until_statement_sent();
        respond_done(run.connection);
        take_effects<send_response>();
        return server_of(run.connection);
    };
    for (const char* relay : {"near-1", "near-2", "far"}) {
        set_times(relay, 25, 0);
    }
    for (int at = 0; at < 20; ++at) {
        m_now += milliseconds{50};
        EXPECT_NE(relay_of_next_read(), "far");
    }
    int left = 0;
    for (int at = 0; at < 40; ++at) {
        m_now += milliseconds{50};
        set_times("near-1", 25, 400);
        set_times("near-2", 25, 400);
        left += relay_of_next_read() == "far" ? 1 : 0;
    }
    EXPECT_GT(left, 10);
}

} // namespace hickorymount::sessions
