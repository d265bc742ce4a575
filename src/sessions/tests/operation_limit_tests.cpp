#include "sessions/tests/customer_fixture.h"

#include <algorithm>
#include <vector>

namespace hickorymount::sessions {
namespace {

/// "alpine" has a limit, of which this host may use three operations in a window; "boreal" has none.
class operation_limit_fixture : public customer_fixture
{
protected:
    static constexpr limits::operation_count quota = 3;

    operation_limit_fixture()
    {
        m_view.limit_bounds = {milliseconds{5000}, 0.1, 20};
        set_limit(20);
        grant(quota);
        m_alpine = open_as("alpine");
        take_effects<report_to_control>();
    }

    void set_limit(double operations_per_second)
    {
        change_configuration([&](configuration::configuration& content) {
            content.customers[customer_name{"alpine"}].limit =
                configuration::operation_limit{operations_per_second, operations_per_second};
        });
    }

    void grant(limits::operation_count operations)
    {
        limits::host_quotas quotas;
        quotas.sequence = ++m_grant;
        quotas.valid_until = m_now + limits::quota_duration - limits::quota_drift_margin;
        quotas.operations[customer_name{"alpine"}] = operations;
        m_view.quotas = shared_value(quotas);
        publish();
    }

    /// Submits a write and completes it if it is sent. Returns the response.
    statement_response run_write(session_number session)
    {
        submit_write(session);
        return finish();
    }

    statement_response finish(transaction_state state = transaction_state::none)
    {
        constexpr milliseconds longest_wait{400};
        constexpr milliseconds step{20};
        answer_sent(state);
        // An operation beyond the quota is refused when control does not raise the quota.
        for (milliseconds waited{0}; waited < longest_wait && !has_response(); waited += step) {
            advance_time(step);
            answer_sent(state);
        }
        return next_response();
    }

    void answer_sent(transaction_state state)
    {
        open_connections();
        for (auto sent = take_effects<send_statement>(); !sent.empty();
             sent = take_effects<send_statement>()) {
            const bool begins = sent.front().body.kind == statement_kind::begin;
            respond_done(sent.front().connection, begins ? transaction_state::open : state);
            open_connections();
        }
    }

    [[nodiscard]] bool has_response() const
    {
        return std::any_of(m_effects.begin(), m_effects.end(),
                           [](const effect& each) { return std::holds_alternative<send_response>(each); });
    }

    session_number m_alpine = 0;
    std::uint64_t m_grant = 0;
};

/// Guards against a limit that is ignored, and against a refusal that does not say when to retry. Control has
/// answered the demand and gives no more.
TEST_F(operation_limit_fixture, operation_above_the_answered_quota_is_refused_at_once_with_retry_time)
{
    std::vector<session_number> sessions;
    for (int count = 0; count < 40; ++count) {
        sessions.push_back(open_as("alpine"));
        submit_write(sessions.back());
    }
    advance_time(report_interval);
    m_now += milliseconds{1};
    grant(quota);
    take_effects<send_response>();
    take_effects<record_limit_refusal>();
    submit_write(m_alpine);
    const statement_response refused = next_response();
    EXPECT_EQ(refused.code, response_code::limit_reached);
    EXPECT_EQ(refused.detail.find("limit of customer reached; retry after "), 0U) << refused.detail;
    EXPECT_EQ(take_effects<record_limit_refusal>().size(), 1U);
}

/// Guards against refusals below the limit where a customer's requests come to a host for the first time.
TEST_F(operation_limit_fixture, operation_beyond_the_quota_waits_for_the_answer_of_control)
{
    for (limits::operation_count count = 0; count < quota; ++count) {
        run_write(m_alpine);
    }
    submit_write(m_alpine);
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(milliseconds{60});
    grant(quota + 1);
    EXPECT_EQ(finish().code, response_code::done);
}

/// Guards against operations that are kept until their deadline when control does not answer.
TEST_F(operation_limit_fixture, operation_without_an_answer_of_control_is_refused_after_400_ms)
{
    for (limits::operation_count count = 0; count < quota; ++count) {
        run_write(m_alpine);
    }
    submit_write(m_alpine);
    advance_time(milliseconds{380});
    EXPECT_TRUE(take_effects<send_response>().empty());
    advance_time(milliseconds{20});
    EXPECT_EQ(next_response().code, response_code::limit_reached);
}

/// Guards against a quota that does not become free after its window.
TEST_F(operation_limit_fixture, refused_customer_is_served_one_window_later)
{
    for (limits::operation_count count = 0; count <= quota; ++count) {
        run_write(m_alpine);
    }
    m_now += milliseconds{5100};
    grant(quota);
    EXPECT_EQ(run_write(m_alpine).code, response_code::done);
}

/// Guards against customers without a limit that are counted or reported.
TEST_F(operation_limit_fixture, customer_without_a_limit_is_not_counted)
{
    const session_number boreal = open_as("boreal");
    for (int count = 0; count < 50; ++count) {
        EXPECT_EQ(run_write(boreal).code, response_code::done);
    }
    advance_time(report_interval);
    const auto reports = take_effects<report_to_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_FALSE(reports.back().customer_demands.contains(customer_name{"boreal"}));
}

/// Guards against deployments without customers that send reports of demands.
TEST_F(operation_limit_fixture, deployment_without_customers_reports_no_demands)
{
    change_configuration([](configuration::configuration& content) { content.identifies_customers = false; });
    const session_number session = open("ledger");
    for (int count = 0; count < 50; ++count) {
        EXPECT_EQ(run_write(session).code, response_code::done);
    }
    advance_time(report_interval);
    const auto reports = take_effects<report_to_control>();
    ASSERT_FALSE(reports.empty());
    EXPECT_TRUE(reports.back().customer_demands.empty());
}

/// Guards against statements that reach no server being counted.
TEST_F(operation_limit_fixture, statements_handled_locally_are_not_counted)
{
    for (int count = 0; count < 10; ++count) {
        submit(m_alpine, set_value("x", "1"));
        EXPECT_EQ(next_response().code, response_code::done);
        submit(m_alpine, prepare("p", true, "READ $1"));
        EXPECT_EQ(next_response().code, response_code::done);
        submit(m_alpine, make_statement(statement_kind::begin));
        EXPECT_EQ(next_response().code, response_code::done);
        submit(m_alpine, make_statement(statement_kind::rollback));
        EXPECT_EQ(next_response().code, response_code::done);
    }
    EXPECT_EQ(run_write(m_alpine).code, response_code::done);
}

/// Guards against a transaction that is counted for each of its statements, or refused in its middle.
TEST_F(operation_limit_fixture, transaction_is_counted_once)
{
    submit(m_alpine, make_statement(statement_kind::begin));
    EXPECT_EQ(next_response().code, response_code::done);
    for (int count = 0; count < 10; ++count) {
        submit_write(m_alpine);
        EXPECT_EQ(finish(transaction_state::open).code, response_code::done);
    }
    submit(m_alpine, make_statement(statement_kind::commit));
    EXPECT_EQ(finish().code, response_code::done);
    EXPECT_EQ(run_write(m_alpine).code, response_code::done);
    EXPECT_EQ(run_write(m_alpine).code, response_code::done);
    EXPECT_EQ(run_write(m_alpine).code, response_code::limit_reached);
}

/// Guards against a refused transaction that stays open and takes effect in part.
TEST_F(operation_limit_fixture, transaction_above_the_quota_fails_before_it_starts)
{
    for (limits::operation_count count = 0; count < quota; ++count) {
        run_write(m_alpine);
    }
    submit(m_alpine, make_statement(statement_kind::begin));
    EXPECT_EQ(next_response().code, response_code::done);
    submit_write(m_alpine);
    EXPECT_TRUE(take_effects<send_statement>().empty());
    const statement_response refused = finish();
    EXPECT_EQ(refused.code, response_code::limit_reached);
    EXPECT_EQ(refused.state, transaction_state::failed);
    submit(m_alpine, make_statement(statement_kind::commit));
    EXPECT_EQ(next_response().code, response_code::aborted);
}

/// Guards against operations that are counted at the host of the caller and again at the relay.
TEST_F(operation_limit_fixture, relayed_statements_are_not_counted)
{
    const session_number relayed = m_next_session++;
    apply_event(session_requested{relayed, "ledger", true});
    for (int count = 0; count < 10; ++count) {
        apply_event(statement_received{relayed, "r" + std::to_string(count),
                                       make_statement(statement_kind::write, "WRITE 1 a"), std::nullopt,
                                       relayed_caller{"ledger", customer_name{"alpine"}}});
        EXPECT_EQ(finish().code, response_code::done);
    }
}

/// Guards against a log that grows with the number of refusals.
TEST_F(operation_limit_fixture, refusals_are_logged_once_a_second)
{
    for (limits::operation_count count = 0; count < quota; ++count) {
        run_write(m_alpine);
    }
    take_effects<logging::log_record>();
    for (int count = 0; count < 200; ++count) {
        submit_write(open_as("alpine"));
        advance_time(milliseconds{10});
    }
    auto records = take_effects<logging::log_record>();
    std::erase_if(records, [](const logging::log_record& each) { return each.step != "limit_reached"; });
    EXPECT_GE(records.size(), 2U);
    EXPECT_LE(records.size(), 3U);
}

/// Guards against demand that control does not learn of before the next regular report.
TEST_F(operation_limit_fixture, used_up_quota_is_reported_at_once)
{
    for (limits::operation_count count = 0; count < quota; ++count) {
        run_write(m_alpine);
    }
    take_effects<report_to_control>();
    m_now += milliseconds{20};
    submit_write(m_alpine);
    const auto reports = take_effects<report_to_control>();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(reports.back().needs_quota);
    const limits::customer_demand demand = reports.back().customer_demands.at(customer_name{"alpine"});
    EXPECT_GT(demand.wanted, quota);
    EXPECT_EQ(demand.held, quota);
}

/// Guards against the refusal of the first statement of a customer that is new at the host.
TEST_F(operation_limit_fixture, first_session_of_a_customer_requests_a_quota_at_once)
{
    apply_event(session_closed{m_alpine});
    advance_time(milliseconds{10'000});
    advance_time(report_interval);
    take_effects<report_to_control>();
    m_now += milliseconds{5};
    open_as("alpine");
    const auto reports = take_effects<report_to_control>();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(reports[0].needs_quota);
    EXPECT_TRUE(reports[0].customer_demands.contains(customer_name{"alpine"}));
}

/// Guards against a quota that is given to another host while this one still uses it: control counts it until
/// the traffic thread has reported the lower one.
TEST_F(operation_limit_fixture, lowered_quota_is_reported_with_the_view_that_lowers_it)
{
    grant(1);
    const auto reports = take_effects<report_to_control>();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].customer_demands.at(customer_name{"alpine"}).held, 1U);
}

/// Guards against hosts that use the share of a higher limit until their next grant.
TEST_F(operation_limit_fixture, lowered_limit_lowers_the_quota_at_once)
{
    grant(30);
    set_limit(1);
    int served = 0;
    for (int count = 0; count < 30; ++count) {
        served += run_write(m_alpine).code == response_code::done ? 1 : 0;
    }
    EXPECT_LE(served, 6);
    EXPECT_GE(served, 1);
}

} // namespace
} // namespace hickorymount::sessions
