#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

class unexpected_response_fixture : public session_fixture
{
protected:
    /// Runs a read and returns its connection, which is idle afterwards.
    connection_number run_read()
    {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::read, "READ 1"));
        const connection_number connection = run_until_statement_sent().connection;
        respond_done(connection);
        take_effects<logging::log_record>();
        return connection;
    }

    std::string logged_description()
    {
        for (const logging::log_record& each : take_effects<logging::log_record>()) {
            if (each.step == "unexpected_response") {
                return each.text;
            }
        }
        return "";
    }
};

TEST_F(unexpected_response_fixture, repeated_response_is_logged_and_the_connection_kept)
{
    const connection_number connection = run_read();
    apply_event(response_received{
        connection, {{"row"}, response_code::done, m_last_signature, transaction_state::none, {}}});
    EXPECT_EQ(logged_description(), "group=orders link=1 kind=repeat code=0 rows=1 bytes=14");
    const auto recorded = take_effects<record_unexpected_response>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].origin, answer_origin::repeat);
    EXPECT_TRUE(m_state.connections.contains(connection));
}

TEST_F(unexpected_response_fixture,
       response_to_nothing_is_logged_without_its_content_and_closes_the_connection)
{
    const connection_number connection = run_read();
    respond_error(connection, response_code::busy);
    EXPECT_EQ(logged_description(), "group=orders link=1 kind=foreign code=1 rows=0 bytes=7");
    const auto recorded = take_effects<record_unexpected_response>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].origin, answer_origin::foreign);
    EXPECT_FALSE(m_state.connections.contains(connection));
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
}

TEST_F(unexpected_response_fixture, response_to_nothing_neither_suspects_the_primary_nor_counts_as_a_loss)
{
    const connection_number connection = run_read();
    respond_error(connection, response_code::busy);
    EXPECT_TRUE(take_effects<report_suspected_primary>().empty());
    EXPECT_EQ(m_state.server_loads[backend_server_name{"first"}].health.losses, 0);
}

TEST_F(unexpected_response_fixture, unreadable_response_counts_as_a_loss_and_does_not_suspect_the_primary)
{
    const connection_number connection = run_read();
    apply_event(connection_lost{connection, "the server's answer can't be read", true});
    EXPECT_TRUE(take_effects<report_suspected_primary>().empty());
    EXPECT_EQ(m_state.server_loads[backend_server_name{"first"}].health.losses, 1);
}

TEST_F(unexpected_response_fixture,
       connection_whose_signatures_are_too_many_to_remember_is_replaced_when_idle)
{
    const connection_number connection = run_read();
    m_state.connections.at(connection).answers.signatures.assign(max_known_signatures - 1, 0);
    const session_number session = open("ledger");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    respond_done(next_sent_statement().connection);
    EXPECT_FALSE(m_state.connections.contains(connection));
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
}

} // namespace hickorymount::sessions
