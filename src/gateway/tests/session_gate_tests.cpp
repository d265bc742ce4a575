#include "gateway/internal/session_gate.h"

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {

using refusals = std::vector<refused_connection>;

class session_gate_fixture : public testing::Test
{
protected:
    session_gate_fixture() : m_gate(make_limits())
    {
        m_gate.admit(1, m_now);
        m_gate.record_opening(1);
    }

    static port_limits make_limits()
    {
        port_limits limits;
        limits.max_connections = 3;
        limits.budget = {4'000'000, 1'000'000, milliseconds{3000}};
        return limits;
    }

    refusals pass(milliseconds time)
    {
        m_now += time;
        return m_gate.connections_to_close(m_now);
    }

    void receive(sessions::session_number session, std::size_t bytes)
    {
        m_received += bytes;
        m_gate.record_buffers(session, m_received, 0, m_received, m_now);
    }

    time_point m_now{milliseconds{1000}};
    std::size_t m_received = 0;
    session_gate m_gate;
};

/// Guards against closing sessions that are idle, however long that takes.
TEST_F(session_gate_fixture, open_session_without_statements_stays)
{
    EXPECT_FALSE(m_gate.needs_check());
    EXPECT_TRUE(pass(milliseconds{24 * 3'600'000}).empty());
}

/// Guards against connections that never open a session.
TEST_F(session_gate_fixture, connection_without_opening_line_is_closed_after_the_time_limit)
{
    m_gate.admit(2, m_now);
    EXPECT_TRUE(m_gate.needs_check());
    EXPECT_TRUE(pass(m_gate.limits().opening_timeout - milliseconds{1}).empty());
    const refusals expected{{2, close_reason::no_opening_line}};
    EXPECT_EQ(pass(milliseconds{1}), expected);
}

/// Guards against a limit that idle connections without a session use up.
TEST_F(session_gate_fixture, connection_without_opening_line_gives_way_to_a_new_one)
{
    m_gate.admit(2, m_now);
    m_gate.admit(3, m_now);
    const refused_connection expected{2, close_reason::too_many_connections};
    EXPECT_EQ(m_gate.admit(4, m_now), expected);
}

/// Guards against closing open sessions for the sake of new connections.
TEST_F(session_gate_fixture, new_connection_is_refused_when_all_others_have_sessions)
{
    for (const sessions::session_number session : {2, 3}) {
        m_gate.admit(session, m_now);
        m_gate.record_opening(session);
    }
    const refused_connection expected{4, close_reason::too_many_connections};
    EXPECT_EQ(m_gate.admit(4, m_now), expected);
    EXPECT_EQ(m_gate.connection_count(), 3U);
    m_gate.remove(2);
    EXPECT_FALSE(m_gate.admit(5, m_now));
}

/// Guards against lines that are begun and never ended.
TEST_F(session_gate_fixture, unfinished_line_without_progress_is_closed_after_the_time_limit)
{
    receive(1, 10'000);
    EXPECT_TRUE(pass(m_gate.limits().message_timeout - milliseconds{1}).empty());
    receive(1, min_progress_bytes - 1);
    const refusals expected{{1, close_reason::unfinished_line}};
    EXPECT_EQ(pass(milliseconds{1}), expected);
}

/// Guards against closing a slow client that makes progress.
TEST_F(session_gate_fixture, slow_line_with_progress_stays)
{
    for (int period = 0; period < 250; ++period) {
        receive(1, min_progress_bytes);
        EXPECT_TRUE(pass(m_gate.limits().message_timeout - milliseconds{1}).empty());
    }
}

/// Guards against blaming a client for a line that this process does not read.
TEST_F(session_gate_fixture, line_that_waits_for_the_budget_is_not_overdue)
{
    m_gate.admit(2, m_now);
    m_gate.record_opening(2);
    m_gate.record_statement(2, 1'700'000);
    receive(1, 700'000);
    m_gate.record_buffers(2, 800'000, 0, 800'000, m_now);
    EXPECT_FALSE(m_gate.may_read(1, m_now));
    const refusals expected{{2, close_reason::budget_exhausted}};
    EXPECT_EQ(pass(m_gate.limits().message_timeout), expected);
}

/// Guards against holding all statements that a session sends ahead.
TEST_F(session_gate_fixture, session_with_enough_statements_accepts_no_line_until_one_is_answered)
{
    for (std::size_t count = 0; count < max_session_statements; ++count) {
        EXPECT_TRUE(m_gate.accepts_lines(1));
        m_gate.record_statement(1, 10);
    }
    EXPECT_FALSE(m_gate.accepts_lines(1));
    m_gate.record_response(1);
    EXPECT_TRUE(m_gate.accepts_lines(1));
}

/// Guards against holding many long statements of one session.
TEST_F(session_gate_fixture, session_with_long_statements_accepts_no_line_until_they_are_answered)
{
    m_gate.record_statement(1, 1'000'000);
    EXPECT_FALSE(m_gate.accepts_lines(1));
    EXPECT_EQ(m_gate.used_bytes(), 2'000'000U);
    m_gate.record_response(1);
    EXPECT_TRUE(m_gate.accepts_lines(1));
    EXPECT_EQ(m_gate.used_bytes(), 0U);
}

/// Guards against responses that nobody reads.
TEST_F(session_gate_fixture, connection_with_unread_responses_is_closed_when_the_budget_needs_them)
{
    m_gate.record_buffers(1, 0, 2'000'000, 0, m_now);
    EXPECT_FALSE(m_gate.is_check_due());
    m_gate.record_buffers(1, 0, 2'000'001, 0, m_now);
    EXPECT_TRUE(m_gate.is_check_due());
    const refusals expected{{1, close_reason::budget_exhausted}};
    EXPECT_EQ(pass(milliseconds{0}), expected);
}

/// Guards against unread responses that no longer count once their session has ended.
TEST_F(session_gate_fixture, leaving_connection_counts_until_its_responses_are_sent)
{
    m_gate.record_statement(1, 1000);
    m_gate.record_buffers(1, 500, 2'000'000, 500, m_now);
    m_gate.record_leaving(1);
    EXPECT_EQ(m_gate.used_bytes(), 2'000'000U);
    EXPECT_EQ(m_gate.connection_count(), 1U);
    EXPECT_TRUE(pass(m_gate.limits().message_timeout).empty());
    m_gate.remove(1);
    EXPECT_EQ(m_gate.used_bytes(), 0U);
}

/// Guards against values that stay after their statements. One value of the longest message is allowed.
TEST_F(session_gate_fixture, session_with_values_longer_than_two_messages_is_closed)
{
    m_gate.record_values(1, 2'000'000);
    EXPECT_FALSE(m_gate.is_check_due());
    m_gate.record_values(1, 2'000'001);
    EXPECT_TRUE(m_gate.is_check_due());
    const refusals expected{{1, close_reason::long_values}};
    EXPECT_EQ(pass(milliseconds{0}), expected);
    m_gate.remove(1);
    EXPECT_FALSE(m_gate.is_check_due());
    EXPECT_EQ(m_gate.used_bytes(), 0U);
}

} // namespace hickorymount::gateway::detail
