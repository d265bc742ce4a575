#include "sessions/tests/customer_fixture.h"

namespace hickorymount::sessions {

TEST_F(customer_fixture, session_with_an_unknown_key_is_refused)
{
    open_as("nobody");
    EXPECT_TRUE(take_effects<accept_session>().empty());
    const auto refusals = take_effects<refuse_session>();
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].code, response_code::not_authorized);
}

TEST_F(customer_fixture, session_on_a_public_route_needs_no_key_and_names_no_customer)
{
    const session_number session = open_as("nobody", "notices");
    submit_write(session);
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    EXPECT_EQ(opened[0].customer, customer_name{});
}

TEST_F(customer_fixture, session_without_customers_in_the_configuration_needs_no_key)
{
    change_configuration([](configuration::configuration& content) {
        content.identifies_customers = false;
        content.customers.clear();
    });
    open_as("nobody");
    EXPECT_EQ(take_effects<accept_session>().size(), 1U);
}

TEST_F(customer_fixture, configuration_whose_last_customer_was_removed_still_needs_a_key)
{
    change_configuration([](configuration::configuration& content) { content.customers.clear(); });
    open_as("alpine");
    EXPECT_EQ(take_effects<refuse_session>().size(), 1U);
}

TEST_F(customer_fixture, connection_to_a_server_is_opened_for_the_customer_of_the_key)
{
    submit_write(open_as("boreal"));
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    EXPECT_EQ(opened[0].customer, customer_name{"boreal"});
}

TEST_F(customer_fixture, idle_connection_is_reused_by_its_own_customer_only)
{
    submit_write(open_as("alpine"));
    const send_statement first = next_sent_statement();
    respond_done(first.connection);
    submit_write(open_as("boreal"));
    const send_statement second = next_sent_statement();
    EXPECT_NE(second.connection, first.connection);
    respond_done(second.connection);
    submit_write(open_as("alpine"));
    EXPECT_EQ(next_sent_statement().connection, first.connection);
}

/// With fewer connections than customers, each opening must give way to the longest unused connection, or the
/// customers beyond the share would never be served.
TEST_F(customer_fixture, connection_of_another_customer_is_closed_when_the_share_is_used_up)
{
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    submit_write(open_as("alpine"));
    const send_statement first = next_sent_statement();
    respond_done(first.connection);
    submit_write(open_as("boreal"));
    const auto closed = take_effects<close_connection>();
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed[0].connection, first.connection);
    EXPECT_NE(next_sent_statement().connection, first.connection);
}

TEST_F(customer_fixture, connection_in_use_is_not_closed_for_another_customer)
{
    m_view.servers[backend_server_name{"first"}].connection_share = 1;
    publish();
    submit_write(open_as("alpine"));
    const send_statement first = next_sent_statement();
    submit_write(open_as("boreal"));
    EXPECT_TRUE(take_effects<close_connection>().empty());
    respond_done(first.connection);
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
    next_sent_statement();
}

/// A customer that waits for its connection must not hold up the others.
TEST_F(customer_fixture, statement_that_waits_for_a_connection_does_not_delay_another_customer)
{
    submit_write(open_as("boreal"));
    const send_statement earlier = next_sent_statement();
    respond_done(earlier.connection);
    submit_write(open_as("alpine"));
    EXPECT_EQ(take_effects<open_connection>().size(), 1U);
    submit_write(open_as("boreal"));
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].connection, earlier.connection);
}

TEST_F(customer_fixture, idle_session_is_closed_when_its_key_is_withdrawn)
{
    const session_number withdrawn = open_as("alpine");
    open_as("boreal");
    withdraw_key_of("alpine");
    const auto closed = take_effects<close_session>();
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed[0].session, withdrawn);
}

TEST_F(customer_fixture, queued_statement_is_refused_when_its_key_is_withdrawn)
{
    submit_write(open_as("alpine"));
    withdraw_key_of("alpine");
    EXPECT_EQ(next_response().code, response_code::not_authorized);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
    open_connections();
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(customer_fixture, statement_in_service_is_answered_after_its_key_was_withdrawn_and_the_next_refused)
{
    const session_number session = open_as("alpine");
    submit_write(session);
    const send_statement run = next_sent_statement();
    withdraw_key_of("alpine");
    respond_done(run.connection);
    EXPECT_EQ(next_response().code, response_code::done);
    submit_write(session);
    EXPECT_EQ(next_response().code, response_code::not_authorized);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
}

TEST_F(customer_fixture, open_transaction_is_rolled_back_when_its_key_is_withdrawn)
{
    const session_number session = open_as("alpine");
    submit(session, make_statement(statement_kind::begin));
    next_response();
    submit_write(session);
    const send_statement begin = next_sent_statement();
    respond_done(begin.connection, transaction_state::open);
    const send_statement write = next_sent_statement();
    respond_done(write.connection, transaction_state::open);
    next_response();
    withdraw_key_of("alpine");
    EXPECT_EQ(next_sent_statement().body.kind, statement_kind::rollback);
    submit(session, make_statement(statement_kind::commit, "COMMIT"));
    EXPECT_EQ(next_response().code, response_code::not_authorized);
    EXPECT_TRUE(take_effects<send_statement>().empty());
}

TEST_F(customer_fixture, key_that_moves_to_another_customer_ends_the_open_transaction)
{
    const session_number session = open_as("alpine");
    submit(session, make_statement(statement_kind::begin));
    next_response();
    change_configuration([](configuration::configuration& content) {
        content.customers[customer_name{"alpine"}].keys.clear();
        content.customers[customer_name{"boreal"}].keys.push_back(key_of("alpine"));
    });
    submit_write(session);
    EXPECT_EQ(next_response().code, response_code::not_authorized);
}

/// Guards against the use of a session that its last response has ended.
TEST_F(customer_fixture, pipelined_statement_of_a_withdrawn_key_is_refused_after_the_one_in_service_timed_out)
{
    const session_number session = open_as("alpine");
    submit_write(session);
    next_sent_statement();
    submit_write(session);
    withdraw_key_of("alpine");
    advance_time(statement_timeout);
    const auto responses = take_effects<send_response>();
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_EQ(responses[0].response.code, response_code::outcome_unknown);
    EXPECT_EQ(responses[1].response.code, response_code::not_authorized);
    EXPECT_EQ(take_effects<close_session>().size(), 1U);
}

TEST_F(customer_fixture, statement_refused_by_its_server_is_not_sent_again_after_its_key_was_withdrawn)
{
    submit_write(open_as("alpine"));
    const send_statement run = next_sent_statement();
    withdraw_key_of("alpine");
    respond_error(run.connection, response_code::busy);
    advance_time(refusal_backoff);
    EXPECT_TRUE(take_effects<send_statement>().empty());
    EXPECT_EQ(next_response().code, response_code::not_authorized);
}

TEST_F(customer_fixture, queued_statement_is_refused_when_its_key_moves_to_another_customer)
{
    submit_write(open_as("alpine"));
    change_configuration([](configuration::configuration& content) {
        content.customers[customer_name{"alpine"}].keys.clear();
        content.customers[customer_name{"boreal"}].keys.push_back(key_of("alpine"));
    });
    EXPECT_EQ(next_response().code, response_code::not_authorized);
}

/// Other entry hosts have the connections to the servers.
class relayed_customer_fixture : public customer_fixture
{
protected:
    void use_relay()
    {
        protocol::relay_plan plan;
        plan.digest = 1;
        plan.relays = {{host_name{"near"}, {"10.0.0.2", 7455}, availability_zone{"second"}}};
        plan.groups[group_name{"orders"}] = {false, {0}};
        m_view.relay_plan = shared_value(std::move(plan));
        publish();
    }

    session_number open_relayed()
    {
        const session_number number = m_next_session++;
        apply_event(session_requested{number, "ledger", true});
        return number;
    }

    void submit_for(session_number session, const std::string& database, const std::string& customer)
    {
        apply_event(statement_received{session, "id" + std::to_string(m_next_id++),
                                       make_statement(statement_kind::write, "WRITE 1 a"), std::nullopt,
                                       relayed_caller{database, customer_name{customer}}});
    }
};

TEST_F(relayed_customer_fixture, relayed_statement_names_its_caller_when_that_changes)
{
    use_relay();
    submit_write(open_as("alpine"));
    const send_statement first = next_sent_statement();
    EXPECT_EQ(first.caller, (relayed_caller{"ledger", customer_name{"alpine"}}));
    respond_done(first.connection);
    submit_write(open_as("alpine"));
    const send_statement second = next_sent_statement();
    EXPECT_EQ(second.connection, first.connection);
    EXPECT_EQ(second.caller, std::nullopt);
    respond_done(second.connection);
    submit_write(open_as("boreal", "inspections"));
    const send_statement third = next_sent_statement();
    EXPECT_EQ(third.connection, first.connection);
    EXPECT_EQ(third.caller, (relayed_caller{"inspections", customer_name{"boreal"}}));
}

/// Guards against first statements that wait until the connection to a far relay is open.
TEST_F(relayed_customer_fixture, relays_are_connected_before_the_first_statement)
{
    use_relay();
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    EXPECT_EQ(opened[0].server, backend_server_name{"near"});
    apply_event(connection_opened{opened[0].connection});
    submit_write(open_as("alpine"));
    EXPECT_EQ(take_effects<send_statement>().size(), 1U);
    publish();
    EXPECT_TRUE(take_effects<open_connection>().empty());
}

TEST_F(relayed_customer_fixture, relay_opens_the_connection_for_the_named_customer)
{
    const session_number session = open_relayed();
    submit_for(session, "inspections", "boreal");
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    EXPECT_EQ(opened[0].customer, customer_name{"boreal"});
}

TEST_F(relayed_customer_fixture, relay_refuses_a_customer_that_it_does_not_know)
{
    const session_number session = open_relayed();
    submit_for(session, "ledger", "unknown");
    EXPECT_EQ(next_response().code, response_code::not_authorized);
    EXPECT_TRUE(take_effects<open_connection>().empty());
    submit_for(session, "ledger", "alpine");
    EXPECT_EQ(take_effects<open_connection>().size(), 1U);
}

/// Otherwise the relay would run the statement for the customer and in the database named last.
TEST_F(relayed_customer_fixture, relay_connection_names_the_caller_also_after_customers_were_removed)
{
    use_relay();
    submit_write(open_as("alpine", "inspections"));
    const send_statement first = next_sent_statement();
    respond_done(first.connection);
    change_configuration([](configuration::configuration& content) {
        content.identifies_customers = false;
        content.customers.clear();
    });
    submit_write(open("ledger"));
    const send_statement second = next_sent_statement();
    EXPECT_EQ(second.connection, first.connection);
    EXPECT_EQ(second.caller, (relayed_caller{"ledger", {}}));
}

} // namespace hickorymount::sessions
