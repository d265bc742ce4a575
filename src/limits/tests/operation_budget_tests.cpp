#include "limits/customer_budgets.h"
#include "limits/operation_budget.h"

#include <gtest/gtest.h>

namespace hickorymount::limits {
namespace {

class operation_budget_fixture : public testing::Test
{
protected:
    static constexpr milliseconds window{5000};

    operation_budget_fixture() { m_budget.set_limit(100, 0); }

    void grant(operation_count quota) { m_budget.set_quota(quota, m_now + quota_duration, 100); }

    int take(int count)
    {
        int started = 0;
        for (int request = 0; request < count; ++request) {
            started += m_budget.take(m_now) ? 1 : 0;
        }
        return started;
    }

    time_point m_now{milliseconds{100'000}};
    operation_budget m_budget{window};
};

/// Guards against a host that starts operations without a quota.
TEST_F(operation_budget_fixture, budget_without_quota_starts_only_its_allowance)
{
    EXPECT_EQ(take(5), 0);
    m_budget.set_limit(100, 2);
    EXPECT_EQ(take(5), 2);
}

/// Guards against windows with fixed borders, in which twice the quota can start around a border.
TEST_F(operation_budget_fixture, quota_holds_in_every_sliding_window)
{
    std::vector<time_point> started;
    for (int step = 0; step < 3000; ++step) {
        m_now += milliseconds{7};
        grant(4);
        if (take(1) == 1) {
            started.push_back(m_now);
        }
    }
    ASSERT_GT(started.size(), 10U);
    for (std::size_t index = 4; index < started.size(); ++index) {
        EXPECT_GT(started[index] - started[index - 4], window);
    }
}

/// Guards against a share that is used without end by a host without control.
TEST_F(operation_budget_fixture, quota_ends_with_its_time)
{
    grant(10);
    m_now += quota_duration - milliseconds{1};
    EXPECT_EQ(take(1), 1);
    m_now += milliseconds{1};
    EXPECT_EQ(take(1), 0);
    EXPECT_EQ(m_budget.demand(m_now).held, 1U) << "the started operation counts";
}

/// Guards against operations that are freed by a lower quota while they are still in the window.
TEST_F(operation_budget_fixture, started_operations_count_as_held_after_the_quota_was_lowered)
{
    grant(6);
    EXPECT_EQ(take(6), 6);
    grant(2);
    EXPECT_EQ(take(1), 0);
    EXPECT_EQ(m_budget.demand(m_now).held, 6U);
    m_now += window + milliseconds{100};
    grant(2);
    EXPECT_EQ(m_budget.demand(m_now).held, 2U);
}

/// Guards against demand that is invisible because it was refused.
TEST_F(operation_budget_fixture, refused_requests_count_as_demand)
{
    for (int step = 0; step < 100; ++step) {
        m_now += milliseconds{20};
        EXPECT_EQ(take(1), 0);
    }
    EXPECT_GT(m_budget.demand(m_now).wanted, 90U);
}

/// Guards against a demand that stays after the callers have left.
TEST_F(operation_budget_fixture, demand_falls_within_seconds_after_the_last_request)
{
    for (int step = 0; step < 100; ++step) {
        m_now += milliseconds{20};
        take(1);
    }
    m_now += milliseconds{2500};
    EXPECT_LT(m_budget.demand(m_now).wanted, 30U);
}

/// Guards against a retry time at which the operation is refused again.
TEST_F(operation_budget_fixture, operation_is_started_after_the_retry_time)
{
    grant(3);
    EXPECT_EQ(take(4), 3);
    const milliseconds wait = m_budget.retry_after(m_now);
    EXPECT_GT(wait, milliseconds{4000});
    m_now += wait;
    grant(3);
    EXPECT_EQ(take(1), 1);
}

/// Guards against a large quota that is used up in the first moment of each window.
TEST_F(operation_budget_fixture, overloaded_host_spreads_its_operations_over_the_window)
{
    grant(100);
    EXPECT_LT(take(1000), 40);
    int later = 0;
    for (int step = 0; step < 20; ++step) {
        m_now += milliseconds{200};
        later += take(100);
    }
    EXPECT_GT(later, 50);
}

/// Guards against limits in messages and state where there are no customers.
TEST_F(operation_budget_fixture, customers_without_a_limit_have_no_budget)
{
    configuration::versioned_configuration configuration;
    configuration.version = 1;
    configuration.content.identifies_customers = true;
    configuration.content.customers[customer_name{"free"}] = {};
    customer_budgets budgets;
    budgets.update({window, 0.1, 20}, configuration, {});
    EXPECT_TRUE(budgets.empty());
    EXPECT_EQ(budgets.take(customer_name{"free"}, m_now), std::nullopt);
    EXPECT_TRUE(budgets.report({customer_name{"free"}}, m_now).empty());
}

/// Guards against a limit of zero under which the slack still lets operations through.
TEST_F(operation_budget_fixture, limit_of_zero_lets_nothing_through)
{
    EXPECT_EQ(operations_per_window({0, 0}, {window, 0.1, 20}), 0U);
    EXPECT_EQ(allowance_per_host({0, 0}, {window, 0.1, 20}, 1), 0U);
}

/// Guards against tolerances that apply where the settings name none.
TEST_F(operation_budget_fixture, limit_without_settings_is_exact_in_each_second)
{
    EXPECT_EQ(operations_per_window({10, 5}, {}), 15U);
    EXPECT_EQ(allowance_per_host({10, 5}, {}, 10), 0U);
    EXPECT_EQ(operations_per_window({10, 5}, {window, 0.1, 20}), 80U);
    EXPECT_EQ(allowance_per_host({10, 5}, {window, 0.1, 20}, 10), 2U);
}

} // namespace
} // namespace hickorymount::limits
