#include "gateway/internal/traffic_view.h"
#include "node/tests/node_fixture.h"
#include "sessions/reduce.h"

namespace hickorymount::node {
namespace {

/// A customer with a limit and six entry hosts. The traffic threads are those of the tests.
class customer_limit_fixture : public node_fixture
{
protected:
    static constexpr int entry_host_count = 6;

    void SetUp() override
    {
        start_control_hosts(3);
        start_entry_hosts(entry_host_count);
        ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
        configuration::configuration content = default_configuration();
        content.identifies_customers = true;
        content.customers[m_customer].limit = configuration::operation_limit{40, 10};
        content.customers[m_customer].keys = {key_digest{"digest"}};
        configuration::database_route route;
        route.name = route.database = "ledger";
        route.group = group_name{"orders"};
        content.database_routes.push_back(route);
        change_configuration(leader(), "first", 0, std::move(content));
        ASSERT_TRUE(advance_until([this] {
            return entry_state_of("entry-1").configuration->version == 1 &&
                   entry_state_of("entry-2").lease.was_valid;
        }));
        advance(milliseconds{1000});
    }

    /// Reports of the traffic thread as if all that was granted so far were in use.
    void report_demand(const std::string& entry, limits::operation_count wanted, bool needs_quota = true)
    {
        routing::traffic_reported report;
        report.customer_demands[m_customer] = {wanted, 0, quota_of(entry)};
        report.needs_quota = needs_quota;
        report_traffic(entry, std::move(report));
    }

    limits::operation_count quota_of(const std::string& entry) const
    {
        const limits::host_quotas& quotas = *entry_state_of(entry).quotas;
        const auto found = quotas.operations.find(m_customer);
        return found == quotas.operations.end() ? 0 : found->second;
    }

    limits::operation_count quota_of_all() const
    {
        limits::operation_count sum = 0;
        for (int host = 1; host <= entry_host_count; ++host) {
            sum += quota_of("entry-" + std::to_string(host));
        }
        return sum;
    }

    customer_name m_customer{"alpine"};
};

/// Guards against a field that is lost on its way: traffic thread, lease request, grant, view, budget.
TEST_F(customer_limit_fixture, demand_reaches_control_and_the_quota_reaches_the_budget)
{
    report_demand("entry-1", 10);
    ASSERT_TRUE(advance_until([this] { return quota_of("entry-1") > 0; }, milliseconds{300}));
    sessions::traffic_view view = gateway::detail::make_traffic_view(entry_state_of("entry-1"));
    EXPECT_EQ(view.quotas->operations.at(m_customer), quota_of("entry-1"));
    const sessions::transition transition =
        sessions::reduce({}, {clock_of("entry-1"), sessions::view_published{shared_value(std::move(view))}});
    sessions::session_state state = transition.state;
    EXPECT_EQ(state.budgets.take(m_customer, clock_of("entry-1")), std::nullopt);
}

/// Guards against demand that waits for the next regular renewal.
TEST_F(customer_limit_fixture, demand_without_a_quota_is_answered_before_the_next_renewal)
{
    advance_until(
        [this] { return now() - entry_state_of("entry-1").lease.last_request_at >= milliseconds{100}; });
    const time_point renewal = entry_state_of("entry-1").lease.renew_at;
    report_demand("entry-1", 10);
    ASSERT_TRUE(advance_until([this] { return quota_of("entry-1") > 0; }));
    EXPECT_LT(now(), renewal);
}

/// Guards against reports that cause a request each: one second allows six early renewals and the regular
/// ones.
TEST_F(customer_limit_fixture, early_renewals_are_limited)
{
    const std::uint64_t before = entry_state_of("entry-1").lease.next_sequence;
    for (int step = 0; step < 100; ++step) {
        report_demand("entry-1", 1000);
        advance(milliseconds{10});
    }
    EXPECT_LE(entry_state_of("entry-1").lease.next_sequence - before, 9U);
}

/// Guards against quotas that exceed the limit while all hosts ask for all of it, also across a change of the
/// leader and the end of hosts.
TEST_F(customer_limit_fixture, quotas_of_all_hosts_stay_within_the_limit)
{
    const limits::operation_count limit = limits::operations_per_window({40, 10}, {});
    std::string previous;
    for (int round = 0; round < 40; ++round) {
        if (round == 15) {
            previous = leader();
            kill(previous);
        }
        if (round == 25) {
            kill("entry-6");
        }
        for (int host = 1; host <= entry_host_count - (round < 25 ? 0 : 1); ++host) {
            report_demand("entry-" + std::to_string(host), 50, round % 3 == 0);
        }
        advance(milliseconds{200});
        EXPECT_LE(quota_of_all(), limit) << "round " << round;
    }
    EXPECT_NE(leader(), previous);
    EXPECT_GE(quota_of_all(), limit / 2);
}

/// Guards against messages that grow where no customer has a limit.
TEST_F(customer_limit_fixture, hosts_without_demand_hold_no_quota)
{
    EXPECT_TRUE(entry_state_of("entry-1").quotas->operations.empty());
    EXPECT_TRUE(entry_state_of("entry-1").customer_demands.empty());
}

} // namespace
} // namespace hickorymount::node
