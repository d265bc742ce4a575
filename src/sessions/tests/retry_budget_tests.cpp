#include "sessions/retry_budget.h"
#include "sessions/tests/customer_fixture.h"

namespace hickorymount::sessions {

class retry_budget_fixture : public ::testing::Test
{
protected:
    /// The share of statements that can be retried when `refused_of_100` of them are refused at each attempt.
    static double retried_share(int refused_of_100, int count)
    {
        time_point now{milliseconds{1000}};
        retry_budget budget;
        budget.refilled_at = now;
        int retried = 0;
        int refused = 0;
        for (int at = 0; at < count; ++at) {
            now += milliseconds{1};
            budget = after_first_attempt(budget, now);
            if (at % 100 < refused_of_100) {
                ++refused;
                retried += allows_retry(budget, now) ? 1 : 0;
                budget = after_retry(budget, now);
            }
        }
        return static_cast<double>(retried) / refused;
    }
};

TEST_F(retry_budget_fixture, a_tenth_of_refused_statements_is_always_retried)
{
    EXPECT_DOUBLE_EQ(retried_share(10, 10'000), 1);
}

TEST_F(retry_budget_fixture, refusal_of_all_statements_adds_a_fifth_of_retries)
{
    EXPECT_NEAR(retried_share(100, 10'000), 0.2, 0.01);
}

TEST_F(retry_budget_fixture, customer_with_few_statements_has_a_minimum_after_a_pause)
{
    time_point now{milliseconds{1000}};
    retry_budget budget;
    for (int at = 0; at < 10; ++at) {
        EXPECT_TRUE(allows_retry(budget, now));
        budget = after_retry(budget, now);
    }
    EXPECT_FALSE(allows_retry(budget, now));
    EXPECT_TRUE(allows_retry(budget, now + milliseconds{1000}));
    budget = after_first_attempt(budget, now + milliseconds{60'000});
    EXPECT_NEAR(budget.available, 10.2, 0.001);
}

/// The primary refuses every statement.
class refusing_server_fixture : public customer_fixture
{
protected:
    /// Runs `count` writes of the customer, and returns how often a statement was sent for them.
    int count_sent(const std::string& customer, int count)
    {
        int sent = 0;
        for (int at = 0; at < count; ++at) {
            submit_write(open_as(customer));
            for (int step = 0; step < 10; ++step) {
                open_connections();
                for (const send_statement& each : take_effects<send_statement>()) {
                    ++sent;
                    respond_error(each.connection, response_code::busy);
                }
                advance_time(refusal_backoff);
            }
        }
        return sent;
    }
};

TEST_F(refusing_server_fixture, retries_of_one_customer_end_and_those_of_another_go_on)
{
    const int sent = count_sent("alpine", 100);
    // A fifth, the minimum of ten, and one for each of the 30 s.
    EXPECT_LE(sent, 100 + 20 + 10 + 30);
    std::size_t refused = 0;
    for (const record_statement_metrics& each : take_effects<record_statement_metrics>()) {
        EXPECT_EQ(each.code, response_code::busy);
        refused += each.waited_for == wait_cause::no_retry_left ? 1 : 0;
    }
    EXPECT_GT(refused, 50U);
    EXPECT_GT(count_sent("boreal", 1), 1);
}

TEST_F(refusing_server_fixture, transaction_in_progress_is_retried_without_a_budget)
{
    const session_number session = open_as("alpine");
    submit(session, make_statement(statement_kind::begin));
    submit_write(session);
    const connection_number connection = run_until_statement_sent(transaction_state::open).connection;
    respond_done(connection, transaction_state::open);
    take_effects<send_response>();
    m_state.retry_budgets[customer_name{"alpine"}] = {0, m_now};
    submit_write(session);
    ASSERT_EQ(next_sent_statement().connection, connection);
    respond_error(connection, response_code::busy, transaction_state::open);
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(refusal_backoff);
    EXPECT_EQ(next_sent_statement().connection, connection);
}

TEST_F(refusing_server_fixture, first_statement_of_a_transaction_is_refused_when_no_retry_is_left)
{
    const session_number session = open_as("alpine");
    submit(session, make_statement(statement_kind::begin));
    take_effects<send_response>();
    submit_write(session);
    const send_statement begin = next_sent_statement();
    m_state.retry_budgets[customer_name{"alpine"}] = {0, m_now};
    respond_error(begin.connection, response_code::busy);
    const statement_response response = next_response();
    EXPECT_EQ(response.code, response_code::busy);
    EXPECT_EQ(response.state, transaction_state::failed);
    EXPECT_EQ(m_state.connections.at(begin.connection).stage, connection_stage::idle);
}

TEST_F(refusing_server_fixture, refusal_that_names_another_server_takes_no_retry)
{
    m_state.retry_budgets[customer_name{"alpine"}] = {0, m_now};
    submit_write(open_as("alpine"));
    respond_error(next_sent_statement().connection, response_code::read_only);
    EXPECT_TRUE(take_effects<send_response>().empty());
}

} // namespace hickorymount::sessions
