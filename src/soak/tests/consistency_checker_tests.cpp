#include "soak/consistency_checker.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::soak {

/// A checker without violations that has recorded one write, acknowledged at position 1 of term 1.
class consistency_checker_fixture : public ::testing::Test
{
protected:
    consistency_checker_fixture()
    {
        send("w1", 1, true);
        serve("w1");
        m_checker.record_committed({"w1"}, {1, 1});
        m_checker.record_acknowledged(1, {"w1"}, m_now);
        m_now += milliseconds{10};
    }

    sent_statement
    send(const std::string& id, int session, bool writes,
         configuration::read_consistency consistency = configuration::read_consistency::read_your_writes)
    {
        sent_statement sent;
        sent.id = id;
        sent.session = session;
        sent.attempt = ++m_attempt;
        sent.writes = writes;
        sent.command.kind = writes ? sessions::statement_kind::write : sessions::statement_kind::read;
        sent.command.text = writes ? "WRITE 1 x" : "READ 1";
        sent.consistency = consistency;
        sent.max_staleness = milliseconds{1500};
        sent.sent_at = m_now;
        m_checker.record_sent(sent);
        m_sent = sent;
        return sent;
    }

    served_statement served(const std::string& id) const
    {
        served_statement result;
        result.id = id;
        result.server = backend_server_name{"first"};
        result.command = m_sent.command;
        result.signature = "signature";
        result.rows = {"row"};
        result.term_starts = {{1, 0}};
        result.log_end = 1;
        return result;
    }

    void serve(const std::string& id) { m_checker.record_served(served(id)); }

    [[nodiscard]] std::vector<std::string> violated_rules() const
    {
        std::vector<std::string> names;
        for (const std::string& violation : m_checker.violations()) {
            names.push_back(violation.substr(0, violation.find(':')));
        }
        return names;
    }

    time_point m_now{milliseconds{100'000}};
    std::uint64_t m_attempt = 0;
    sent_statement m_sent;
    consistency_checker m_checker;
};

using rule_list = std::vector<std::string>;

TEST_F(consistency_checker_fixture, read_that_sees_its_own_write_is_no_violation)
{
    send("r1", 1, false);
    serve("r1");
    m_checker.record_answered("r1", {{"row"}, sessions::response_code::done, "signature", {}, {}});
    m_checker.finish();
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, read_that_lacks_its_own_write_is_stale)
{
    send("r1", 1, false);
    served_statement stale_read = served("r1");
    stale_read.log_end = 0;
    m_checker.record_served(stale_read);
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture, read_that_lacks_a_recent_write_of_another_session_is_no_violation)
{
    send("r1", 2, false);
    served_statement stale_read = served("r1");
    stale_read.log_end = 0;
    m_checker.record_served(stale_read);
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, read_that_lacks_an_old_write_of_another_session_is_stale)
{
    m_now += milliseconds{1600};
    send("r1", 2, false);
    served_statement stale_read = served("r1");
    stale_read.log_end = 0;
    m_checker.record_served(stale_read);
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture, primary_read_that_lacks_an_acknowledged_write_is_stale)
{
    send("r1", 2, false, configuration::read_consistency::primary);
    served_statement stale_read = served("r1");
    stale_read.log_end = 0;
    m_checker.record_served(stale_read);
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture, primary_read_that_lacks_a_commit_answered_to_another_caller_is_stale)
{
    m_checker.record_commit_answered({"w2"}, {1, 2}, m_now);
    m_now += milliseconds{1};
    send("r1", 2, false, configuration::read_consistency::primary);
    serve("r1");
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture, primary_read_that_has_a_commit_answered_to_another_caller_is_no_violation)
{
    m_checker.record_commit_answered({"w2"}, {1, 2}, m_now);
    m_now += milliseconds{1};
    send("r1", 2, false, configuration::read_consistency::primary);
    served_statement fresh_read = served("r1");
    fresh_read.log_end = 2;
    m_checker.record_served(fresh_read);
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, primary_read_sent_before_the_commit_was_answered_is_no_violation)
{
    send("r1", 2, false, configuration::read_consistency::primary);
    m_checker.record_commit_answered({"w2"}, {1, 2}, m_now + milliseconds{1});
    serve("r1");
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, primary_read_at_a_replaced_primary_after_a_commit_of_the_next_is_stale)
{
    m_checker.record_promotion({{1, 0}, {2, 1}}, 1);
    m_checker.record_commit_answered({"w2"}, {2, 2}, m_now);
    m_now += milliseconds{1};
    send("r1", 2, false, configuration::read_consistency::primary);
    served_statement read_at_replaced_primary = served("r1");
    read_at_replaced_primary.log_end = 5;
    m_checker.record_served(read_at_replaced_primary);
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture,
       primary_read_that_lacks_a_commit_rolled_back_by_a_promotion_is_no_violation)
{
    m_checker.record_commit_answered({"w2"}, {1, 2}, m_now);
    m_checker.record_promotion({{1, 0}, {2, 1}}, 1);
    m_now += milliseconds{1};
    send("r1", 2, false, configuration::read_consistency::primary);
    served_statement read_at_new_primary = served("r1");
    read_at_new_primary.term_starts = {{1, 0}, {2, 1}};
    m_checker.record_served(read_at_new_primary);
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, bounded_read_that_lacks_an_old_commit_answered_to_another_caller_is_stale)
{
    m_checker.record_commit_answered({"w2"}, {1, 2}, m_now);
    m_now += milliseconds{1501};
    send("r1", 2, false, configuration::read_consistency::bounded_staleness);
    serve("r1");
    EXPECT_EQ(violated_rules(), rule_list{"stale"});
}

TEST_F(consistency_checker_fixture, write_missing_from_the_promoted_log_is_lost)
{
    m_checker.record_promotion({{1, 0}, {2, 0}}, 0);
    EXPECT_EQ(violated_rules(), rule_list{"lost"});
}

TEST_F(consistency_checker_fixture, answer_with_other_rows_is_mixed)
{
    send("r1", 1, false);
    serve("r1");
    m_checker.record_answered("r1", {{"other"}, sessions::response_code::done, "signature", {}, {}});
    EXPECT_EQ(violated_rules(), rule_list{"mixed"});
}

TEST_F(consistency_checker_fixture, write_acknowledged_without_a_commit_is_mixed)
{
    m_checker.record_acknowledged(1, {"w2"}, m_now);
    EXPECT_EQ(violated_rules(), rule_list{"mixed"});
}

TEST_F(consistency_checker_fixture, statement_that_nobody_sent_is_unasked)
{
    serve("r9");
    EXPECT_EQ(violated_rules(), rule_list{"unasked"});
}

TEST_F(consistency_checker_fixture, statement_with_another_text_is_unasked)
{
    send("r1", 1, false);
    served_statement changed = served("r1");
    changed.command.text = "READ 2";
    m_checker.record_served(changed);
    EXPECT_EQ(violated_rules(), rule_list{"unasked"});
}

TEST_F(consistency_checker_fixture, statement_with_values_of_another_session_violates_pinning)
{
    send("r1", 1, false);
    served_statement other = served("r1");
    other.values["colour"] = "red";
    m_checker.record_served(other);
    EXPECT_EQ(violated_rules(), rule_list{"pinned"});
}

TEST_F(consistency_checker_fixture, statement_inside_a_foreign_transaction_violates_pinning)
{
    send("r1", 1, false);
    served_statement inside = served("r1");
    inside.transaction = 7;
    m_checker.record_served(inside);
    EXPECT_EQ(violated_rules(), (rule_list{"pinned"}));
}

TEST_F(consistency_checker_fixture, write_applied_twice_is_reported)
{
    m_checker.record_committed({"w1"}, {1, 2});
    m_checker.finish();
    EXPECT_EQ(violated_rules(), rule_list{"twice"});
}

TEST_F(consistency_checker_fixture, write_rolled_back_and_then_applied_once_is_no_violation)
{
    m_checker.record_committed({"w2"}, {1, 2});
    m_checker.record_promotion({{1, 0}, {2, 1}}, 1);
    m_checker.record_committed({"w2"}, {2, 2});
    m_checker.finish();
    EXPECT_EQ(violated_rules(), rule_list{});
}

TEST_F(consistency_checker_fixture, write_applied_after_a_refusal_is_reported)
{
    m_checker.record_not_applied({"w1"});
    m_checker.finish();
    EXPECT_EQ(violated_rules(), rule_list{"refused"});
}

TEST_F(consistency_checker_fixture, older_configuration_read_after_the_apply_time_is_reported)
{
    m_checker.record_configuration_acknowledged(5, m_now);
    m_checker.record_configuration_read(4, m_now + milliseconds{3001});
    EXPECT_EQ(violated_rules(), rule_list{"configuration"});
}

TEST_F(consistency_checker_fixture, older_configuration_read_within_the_apply_time_is_no_violation)
{
    m_checker.record_configuration_acknowledged(5, m_now);
    m_checker.record_configuration_read(4, m_now + milliseconds{2000});
    EXPECT_EQ(violated_rules(), rule_list{});
}

/// Guards against a check that overlooks a statement of one customer on a connection of another.
TEST_F(consistency_checker_fixture, statement_on_a_connection_of_another_customer_is_reported)
{
    sent_statement sent = send("r1", 1, false);
    sent.customer = "customer-1";
    m_checker.record_sent(sent);
    served_statement run = served("r1");
    run.credential = "customer-2";
    m_checker.record_served(run);
    EXPECT_EQ(violated_rules(), std::vector<std::string>{"customer"});
}

TEST_F(consistency_checker_fixture, statement_of_a_withdrawn_key_is_reported_after_the_time_limit)
{
    m_checker.record_key_withdrawn("key-1", m_now);
    const auto run = [&](const std::string& id, milliseconds later) {
        sent_statement sent = send(id, 1, false);
        sent.key = "key-1";
        sent.sent_at = m_now + later;
        m_checker.record_sent(sent);
        serve(id);
    };
    run("r1", revocation_limit);
    EXPECT_TRUE(m_checker.violations().empty());
    run("r2", revocation_limit + milliseconds{1});
    EXPECT_EQ(violated_rules(), std::vector<std::string>{"customer"});
    m_checker.record_key_restored("key-1");
    run("r3", revocation_limit + milliseconds{2});
    EXPECT_EQ(m_checker.violations().size(), 1U);
}

TEST_F(consistency_checker_fixture, execution_with_other_arguments_is_unasked)
{
    sent_statement sent = send("e1", 1, false);
    sent.command.kind = sessions::statement_kind::execute;
    sent.command.argument = "7 x\ny";
    m_checker.record_sent(sent);
    served_statement execution = served("e1");
    execution.command = sent.command;
    execution.command.name = "renamed";
    m_checker.record_served(execution);
    EXPECT_EQ(violated_rules(), rule_list{});
    execution.command.argument = "7 x";
    m_checker.record_served(execution);
    EXPECT_EQ(violated_rules(), rule_list{"unasked"});
}

TEST_F(consistency_checker_fixture, received_statement_of_no_caller_is_unasked)
{
    const sessions::statement rollback{.kind = sessions::statement_kind::rollback, .text = "ROLLBACK"};
    m_checker.record_received("-", rollback, "first");
    EXPECT_EQ(violated_rules(), rule_list{});
    m_checker.record_received("00", rollback, "first");
    EXPECT_EQ(violated_rules(), rule_list{"unasked"});
}

TEST_F(consistency_checker_fixture, received_setting_with_another_value_is_unasked)
{
    sent_statement sent = send("s1", 1, false);
    sent.command = {.kind = sessions::statement_kind::set_variable, .name = "v1", .argument = "vz\ny"};
    m_checker.record_sent(sent);
    m_checker.record_received("s1", sent.command, "first");
    EXPECT_EQ(violated_rules(), rule_list{});
    sent.command.argument = "vz";
    m_checker.record_received("s1", sent.command, "first");
    EXPECT_EQ(violated_rules(), rule_list{"unasked"});
}

TEST_F(consistency_checker_fixture, unreadable_message_is_reported_with_its_bytes)
{
    m_checker.record_unreadable("server first", "y\n\xff");
    ASSERT_EQ(violated_rules(), rule_list{"unreadable"});
    EXPECT_EQ(m_checker.violations().front(), "unreadable: server first got 'y\\x0a\\xff'");
}

TEST_F(consistency_checker_fixture, answer_to_no_statement_is_mixed)
{
    m_checker.record_unasked_answer(1, "DONE 7.1");
    EXPECT_EQ(violated_rules(), rule_list{"mixed"});
}

TEST_F(consistency_checker_fixture, answer_with_the_state_of_another_statement_is_mixed)
{
    m_checker.record_wrong_state("r1", sessions::transaction_state::none, sessions::transaction_state::open);
    EXPECT_EQ(violated_rules(), rule_list{"mixed"});
}

TEST_F(consistency_checker_fixture, row_with_one_other_byte_is_mixed)
{
    send("r1", 1, false);
    serve("r1");
    m_checker.record_answered("r1", {{"row\r"}, sessions::response_code::done, "signature", {}, {}});
    EXPECT_EQ(violated_rules(), rule_list{"mixed"});
}

} // namespace hickorymount::soak
