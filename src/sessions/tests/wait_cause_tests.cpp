#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

/// A statement that waits in the queue until it is refused.
class wait_cause_fixture : public session_fixture
{
protected:
    /// Submits a write, and returns the cause that its refusal names.
    wait_cause cause_of_refused_write()
    {
        const session_number session = open("ledger");
        take_effects<send_response>();
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        advance_time(statement_timeout);
        const auto recorded = take_effects<record_statement_metrics>();
        EXPECT_EQ(recorded.size(), 1U);
        const wait_cause cause = recorded.empty() ? wait_cause::none : recorded.front().waited_for;
        EXPECT_EQ(next_response().detail, "no server was free in time: " + std::string(to_string(cause)));
        return cause;
    }

    server_view& primary() { return m_view.servers.at(backend_server_name{"first"}); }

    /// Lets an open transaction hold the only connection to the primary.
    void occupy_primary()
    {
        primary().connection_share = 1;
        publish();
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::begin));
        submit(session, make_statement(statement_kind::write, "WRITE 2 b"));
        respond_done(run_until_statement_sent(transaction_state::open).connection, transaction_state::open);
        take_effects<send_response>();
        take_effects<record_statement_metrics>();
    }

    void publish_relay_plan()
    {
        protocol::relay_plan plan;
        plan.digest = 1;
        plan.relays = {{host_name{"near-1"}, {"10.0.0.2", 7455}, availability_zone{"second"}}};
        plan.groups[group_name{"orders"}] = {false, {0}};
        m_view.relay_plan = shared_value(std::move(plan));
        publish();
    }
};

TEST_F(wait_cause_fixture, closed_term_is_named_no_primary)
{
    m_view.groups.at(group_name{"orders"}).is_open = false;
    publish();
    EXPECT_EQ(cause_of_refused_write(), wait_cause::no_primary);
}

TEST_F(wait_cause_fixture, expired_lease_is_named_no_lease)
{
    m_view.lease_until = m_now;
    publish();
    EXPECT_EQ(cause_of_refused_write(), wait_cause::no_lease);
}

TEST_F(wait_cause_fixture, share_of_zero_is_named_no_connection_granted)
{
    primary().connection_share = 0;
    publish();
    EXPECT_EQ(cause_of_refused_write(), wait_cause::no_connection_granted);
}

TEST_F(wait_cause_fixture, connection_that_does_not_open_is_named_not_connected)
{
    EXPECT_EQ(cause_of_refused_write(), wait_cause::not_connected);
}

TEST_F(wait_cause_fixture, occupied_connections_are_named_servers_busy)
{
    occupy_primary();
    EXPECT_EQ(cause_of_refused_write(), wait_cause::servers_busy);
}

TEST_F(wait_cause_fixture, relay_that_does_not_connect_is_named_no_relay_connected)
{
    publish_relay_plan();
    EXPECT_EQ(cause_of_refused_write(), wait_cause::no_relay_connected);
}

} // namespace hickorymount::sessions
