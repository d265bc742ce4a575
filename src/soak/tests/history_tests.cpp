#include "soak/history.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::soak {

/// A history in which nothing is broken yet: one write, acknowledged at position 1 of term 1.
class history_fixture : public ::testing::Test
{
protected:
    history_fixture()
    {
        send("w1", 1, true);
        serve("w1");
        m_history.note_committed({"w1"}, {1, 1});
        m_history.note_acknowledged(1, {"w1"}, m_now);
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
        sent.what.kind = writes ? sessions::statement_kind::write : sessions::statement_kind::read;
        sent.what.text = writes ? "WRITE 1 x" : "READ 1";
        sent.consistency = consistency;
        sent.max_staleness = milliseconds{1500};
        sent.sent_at = m_now;
        m_history.note_sent(sent);
        m_sent = sent;
        return sent;
    }

    served_statement served(const std::string& id) const
    {
        served_statement made;
        made.id = id;
        made.server = backend_server_name{"first"};
        made.what = m_sent.what;
        made.signature = "signature";
        made.rows = {"row"};
        made.term_starts = {{1, 0}};
        made.log_end = 1;
        return made;
    }

    void serve(const std::string& id) { m_history.note_served(served(id)); }

    [[nodiscard]] std::vector<std::string> rules() const
    {
        std::vector<std::string> named;
        for (const std::string& each : m_history.violations()) {
            named.push_back(each.substr(0, each.find(':')));
        }
        return named;
    }

    time_point m_now{milliseconds{100'000}};
    std::uint64_t m_attempt = 0;
    sent_statement m_sent;
    history m_history;
};

using rule_list = std::vector<std::string>;

TEST_F(history_fixture, read_that_sees_the_own_write_breaks_nothing)
{
    send("r1", 1, false);
    serve("r1");
    m_history.note_answered("r1", {{"row"}, sessions::answer_code::done, "signature", {}, {}});
    m_history.finish();
    EXPECT_EQ(rules(), rule_list{});
}

TEST_F(history_fixture, read_that_lacks_the_own_write_is_stale)
{
    send("r1", 1, false);
    served_statement lacking = served("r1");
    lacking.log_end = 0;
    m_history.note_served(lacking);
    EXPECT_EQ(rules(), rule_list{"stale"});
}

TEST_F(history_fixture, read_that_lacks_a_young_write_of_another_session_is_allowed)
{
    send("r1", 2, false);
    served_statement lacking = served("r1");
    lacking.log_end = 0;
    m_history.note_served(lacking);
    EXPECT_EQ(rules(), rule_list{});
}

TEST_F(history_fixture, read_that_lacks_an_old_write_of_another_session_is_stale)
{
    m_now += milliseconds{1600};
    send("r1", 2, false);
    served_statement lacking = served("r1");
    lacking.log_end = 0;
    m_history.note_served(lacking);
    EXPECT_EQ(rules(), rule_list{"stale"});
}

TEST_F(history_fixture, exact_read_that_lacks_any_acknowledged_write_is_stale)
{
    send("r1", 2, false, configuration::read_consistency::primary);
    served_statement lacking = served("r1");
    lacking.log_end = 0;
    m_history.note_served(lacking);
    EXPECT_EQ(rules(), rule_list{"stale"});
}

TEST_F(history_fixture, promotion_without_an_acknowledged_write_loses_it)
{
    m_history.note_promotion({{1, 0}, {2, 0}}, 0);
    EXPECT_EQ(rules(), rule_list{"lost"});
}

TEST_F(history_fixture, answer_with_other_rows_is_mixed)
{
    send("r1", 1, false);
    serve("r1");
    m_history.note_answered("r1", {{"other"}, sessions::answer_code::done, "signature", {}, {}});
    EXPECT_EQ(rules(), rule_list{"mixed"});
}

TEST_F(history_fixture, write_acknowledged_without_a_commit_is_mixed)
{
    m_history.note_acknowledged(1, {"w2"}, m_now);
    EXPECT_EQ(rules(), rule_list{"mixed"});
}

TEST_F(history_fixture, statement_that_nobody_sent_is_unasked)
{
    serve("r9");
    EXPECT_EQ(rules(), rule_list{"unasked"});
}

TEST_F(history_fixture, statement_with_another_text_is_unasked)
{
    send("r1", 1, false);
    served_statement changed = served("r1");
    changed.what.text = "READ 2";
    m_history.note_served(changed);
    EXPECT_EQ(rules(), rule_list{"unasked"});
}

TEST_F(history_fixture, statement_with_values_of_another_session_is_pinned_wrongly)
{
    send("r1", 1, false);
    served_statement other = served("r1");
    other.values["colour"] = "red";
    m_history.note_served(other);
    EXPECT_EQ(rules(), rule_list{"pinned"});
}

TEST_F(history_fixture, statement_inside_a_transaction_that_is_not_its_own_is_pinned_wrongly)
{
    send("r1", 1, false);
    served_statement inside = served("r1");
    inside.transaction = 7;
    m_history.note_served(inside);
    EXPECT_EQ(rules(), (rule_list{"pinned"}));
}

TEST_F(history_fixture, write_that_is_kept_twice_breaks_its_promise)
{
    m_history.note_committed({"w1"}, {1, 2});
    m_history.finish();
    EXPECT_EQ(rules(), rule_list{"twice"});
}

TEST_F(history_fixture, write_that_was_rolled_back_and_kept_once_breaks_nothing)
{
    m_history.note_committed({"w2"}, {1, 2});
    m_history.note_promotion({{1, 0}, {2, 1}}, 1);
    m_history.note_committed({"w2"}, {2, 2});
    m_history.finish();
    EXPECT_EQ(rules(), rule_list{});
}

TEST_F(history_fixture, write_that_is_kept_after_a_refusal_breaks_its_promise)
{
    m_history.note_promised_not_kept({"w1"});
    m_history.finish();
    EXPECT_EQ(rules(), rule_list{"refused"});
}

TEST_F(history_fixture, older_configuration_shown_long_after_an_acknowledgement_is_reported)
{
    m_history.note_configuration_acknowledged(5, m_now);
    m_history.note_configuration_read(4, m_now + milliseconds{3001});
    EXPECT_EQ(rules(), rule_list{"configuration"});
}

TEST_F(history_fixture, older_configuration_shown_at_once_is_allowed)
{
    m_history.note_configuration_acknowledged(5, m_now);
    m_history.note_configuration_read(4, m_now + milliseconds{2000});
    EXPECT_EQ(rules(), rule_list{});
}

} // namespace hickorymount::soak
