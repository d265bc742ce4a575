#include "sessions/tests/session_fixture.h"

namespace hickorymount::sessions {

/// Texts that callers choose, on their way to the log and to metrics.
class caller_text_fixture : public session_fixture
{
protected:
    void submit_with_id(session_number session, const std::string& id)
    {
        apply_event(statement_received{session, id, make_statement(statement_kind::write, "WRITE 1 a")});
    }

    std::string logged_text(const std::string& step)
    {
        for (const logging::log_record& each : take_effects<logging::log_record>()) {
            if (each.step == step) {
                return each.text;
            }
        }
        return "";
    }
};

// Guards against a statement id that adds a field or a line of its own to the log.
TEST_F(caller_text_fixture, statement_id_stays_one_value_of_the_log)
{
    const session_number session = open("ledger");
    submit_with_id(session, "a\ngroup=forged");
    const connection_number connection = run_until_statement_sent().connection;
    respond_error(connection, response_code::failed);
    const std::string text = logged_text("refuse_statement");
    EXPECT_TRUE(text.starts_with(R"(id="a\ngroup=forged" database=ledger group=orders)")) << text;
}

TEST_F(caller_text_fixture, text_of_a_refusal_stays_one_value_of_the_log)
{
    const session_number session = open("ledger");
    submit_with_id(session, "1");
    const connection_number connection = run_until_statement_sent().connection;
    apply_event(response_received{
        connection, {{}, response_code::failed, R"(x" id="2)", transaction_state::none, std::nullopt}});
    const std::string text = logged_text("refuse_statement");
    EXPECT_TRUE(text.ends_with(R"( reason="x\" id=\"2")")) << text;
}

// Guards against memory that grows with each database name that a caller makes up.
TEST_F(caller_text_fixture, database_without_a_route_is_no_label_of_a_metric)
{
    for (int number = 0; number < 20; ++number) {
        const session_number session = open("nowhere" + std::to_string(number));
        submit(session, make_statement(statement_kind::read, "READ 1"));
    }
    const session_number relay = m_next_session++;
    apply_event(session_requested{relay, "ledger", true, {}});
    take_effects<record_statement_metrics>();
    for (int number = 0; number < 20; ++number) {
        for (const statement_kind kind : {statement_kind::read, statement_kind::begin}) {
            apply_event(statement_received{relay, "1", make_statement(kind, "READ 1"), std::nullopt,
                                           relayed_caller{"nowhere" + std::to_string(number), {}}});
        }
    }
    EXPECT_TRUE(take_effects<record_statement_metrics>().empty());
}

} // namespace hickorymount::sessions
