#include "limits/quota_allocator.h"

#include <gtest/gtest.h>

namespace hickorymount::limits {
namespace {

/// One customer with 100 operations in a window of 5 s, and no tolerance. A tenth is reserved, and a single
/// host gets a tenth more than it wants.
class quota_allocator_fixture : public testing::Test
{
protected:
    static constexpr milliseconds window{5000};

    static entry_process_id process(const std::string& host, const std::string& incarnation = "a")
    {
        return {host_name{host}, incarnation_id{incarnation}};
    }

    operation_count request(const entry_process_id& entry, customer_demand demand,
                            std::optional<std::uint64_t> granted_sequence = std::nullopt)
    {
        const std::uint64_t sequence = ++m_sequence;
        m_allocator.record_request(entry, {{m_customer, demand}}, granted_sequence.value_or(sequence - 1),
                                   window, m_now);
        return m_allocator.grant(entry, m_customer, m_terms, sequence, m_now);
    }

    customer_name m_customer{"alpine"};
    division_terms m_terms{{16, 20}, {window, 0, 0}, 0};
    time_point m_now{milliseconds{100'000}};
    quota_allocator m_allocator;
    std::uint64_t m_sequence = 0;
};

/// Guards against a division that gives more than the limit to hosts that ask at once.
TEST_F(quota_allocator_fixture, quotas_of_many_hosts_stay_within_the_limit)
{
    operation_count sum = 0;
    for (int host = 0; host < 30; ++host) {
        sum += request(process("entry-" + std::to_string(host)), {50, 0, 0});
    }
    EXPECT_LE(sum, 100U);
    EXPECT_EQ(m_allocator.held(m_customer), sum);
}

/// Guards against a host that is granted operations which another may still be using.
TEST_F(quota_allocator_fixture, lowered_quota_is_free_only_after_its_host_has_confirmed_it)
{
    const operation_count first = request(process("one"), {80, 0, 0});
    EXPECT_EQ(first, 88U);
    const std::uint64_t unconfirmed = m_sequence;
    // The demand has fallen, and the grant of the lower quota is on its way.
    EXPECT_LT(request(process("one"), {2, 0, first}), 10U);
    EXPECT_LE(request(process("two"), {80, 0, 0}), 12U);
    // The host has received the grant.
    request(process("one"), {2, 0, 2}, m_sequence);
    EXPECT_GT(request(process("two"), {80, 0, 20}, m_sequence), 60U);
    EXPECT_GT(m_sequence, unconfirmed);
}

/// Guards against a grant in transit that is forgotten when an older report arrives.
TEST_F(quota_allocator_fixture, unconfirmed_grant_counts_although_the_host_reports_less)
{
    EXPECT_EQ(request(process("one"), {80, 0, 0}), 88U);
    request(process("one"), {80, 0, 0}, 0);
    EXPECT_GE(m_allocator.held(m_customer), 88U);
}

/// Guards against the share of a silent host being used twice while the host may go on.
TEST_F(quota_allocator_fixture, share_of_a_silent_host_counts_until_its_operations_left_the_window)
{
    EXPECT_EQ(request(process("one"), {80, 0, 0}), 88U);
    m_now += quota_duration + window - milliseconds{1};
    EXPECT_LE(request(process("two"), {80, 0, 0}), 12U);
    m_now += milliseconds{1};
    EXPECT_GT(request(process("two"), {80, 0, 20}), 60U);
}

/// What a process with 88 operations may have started after its last report: a quarter from the token bucket,
/// and twice 8% of the quota in the 0.4 s between two reports.
constexpr operation_count unreported = 37;

/// Guards against a share that stays reserved for a process that has ended.
TEST_F(quota_allocator_fixture, share_of_a_replaced_process_is_free_one_window_later)
{
    EXPECT_EQ(request(process("one", "a"), {80, 0, 0}), 88U);
    EXPECT_LE(request(process("one", "b"), {80, 0, 0}), 100U - unreported);
    m_now += window;
    EXPECT_GT(request(process("one", "b"), {80, 0, 20}), 60U);
}

/// Guards against a released share that counts as long as one of a host that is cut off.
TEST_F(quota_allocator_fixture, released_share_is_free_one_window_later)
{
    EXPECT_EQ(request(process("one"), {80, 0, 0}), 88U);
    m_allocator.end_process(process("one"), window, m_now);
    EXPECT_LE(request(process("two"), {80, 0, 0}), 100U - unreported);
    m_now += window;
    EXPECT_GT(request(process("two"), {80, 0, 20}), 60U);
}

/// Guards against a new leader that gives away what hosts hold that it has not heard.
TEST_F(quota_allocator_fixture, new_leader_raises_no_quota_before_it_has_heard_all_hosts)
{
    m_allocator.start_leading({process("one"), process("two")}, window, m_now);
    EXPECT_EQ(request(process("one"), {50, 10, 10}), 10U);
    EXPECT_EQ(m_allocator.unknown_part(milliseconds{5000}, m_now), 1);
    request(process("two"), {5, 1, 60});
    EXPECT_EQ(m_allocator.unknown_part(milliseconds{5000}, m_now), 0);
    EXPECT_GT(request(process("one"), {50, 10, 10}), 10U);
}

/// Guards against a new leader that waits for a host that is gone without end.
TEST_F(quota_allocator_fixture, new_leader_raises_quotas_after_those_of_silent_hosts_have_ended)
{
    m_allocator.start_leading({process("one"), process("gone")}, window, m_now);
    EXPECT_EQ(request(process("one"), {50, 10, 10}), 10U);
    m_now += quota_duration + window;
    EXPECT_GT(request(process("one"), {50, 10, 10}), 40U);
}

/// Guards against an overloaded customer whose quotas stay at the hosts that had them first.
TEST_F(quota_allocator_fixture, overloaded_customer_is_divided_by_demand)
{
    operation_count first = 0;
    operation_count second = 0;
    for (int round = 0; round < 20; ++round) {
        m_now += milliseconds{400};
        first = request(process("one"), {100, first, first});
        second = request(process("two"), {100, second, second});
    }
    EXPECT_NEAR(first, second, 10);
    EXPECT_GT(first + second, 75U);
}

/// Guards against hosts that keep the quotas of the higher limit.
TEST_F(quota_allocator_fixture, lowered_limit_lowers_each_quota_at_the_next_renewal)
{
    operation_count first = request(process("one"), {40, 0, 0});
    operation_count second = request(process("two"), {40, 0, 0});
    m_terms.limit = {4, 5};
    first = request(process("one"), {40, first, first});
    second = request(process("two"), {40, second, second});
    EXPECT_LE(first + second, 30U);
}

} // namespace
} // namespace hickorymount::limits
