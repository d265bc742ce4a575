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

TEST_F(unexpected_response_fixture, repeat_of_the_last_response_is_logged_as_a_repeat)
{
    const connection_number connection = run_read();
    respond_done(connection);
    EXPECT_EQ(logged_description(), "group=orders link=1 code=0 rows=1 bytes=12 is_repeat=true");
    const auto recorded = take_effects<record_unexpected_response>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_TRUE(recorded[0].is_repeat);
}

TEST_F(unexpected_response_fixture, other_response_is_logged_without_its_content)
{
    const connection_number connection = run_read();
    respond_error(connection, response_code::busy);
    EXPECT_EQ(logged_description(), "group=orders link=1 code=1 rows=0 bytes=7 is_repeat=false");
    const auto recorded = take_effects<record_unexpected_response>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_FALSE(recorded[0].is_repeat);
}

} // namespace hickorymount::sessions
