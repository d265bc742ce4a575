#include "limits/tests/limit_replay.h"

#include <algorithm>
#include <cstdio>

#include <gtest/gtest.h>

namespace hickorymount::limits {
namespace {

/// The first deployment: 69 entry hosts, and 79 customers with sizes as rank^-1.2 and limits of 1.6 times
/// their usual demand of 705 operations/s. Customer 0 is the largest.
class limit_replay_fixture : public testing::Test
{
protected:
    static constexpr int host_count = 69;
    static constexpr int customer_count = 79;

    void SetUp() override
    {
        m_replay.run(milliseconds{15'000});
        m_replay.reset_counts();
    }

    /// Prints the figures of a run, so that they are in the log of the tests.
    void report(const std::string& title)
    {
        RecordProperty("refused_share", std::to_string(m_replay.refused_share()));
        std::printf(
            "%s: refused %.4f, of the largest %.4f, middle %.4f, smallest %.4f, excess %llu, renewals %llu\n",
            title.c_str(), m_replay.refused_share(), m_replay.refused_share(0), m_replay.refused_share(39),
            m_replay.refused_share(78), static_cast<unsigned long long>(m_replay.excess()),
            static_cast<unsigned long long>(m_replay.renewals()));
    }

    limit_replay m_replay{host_count, customer_count, 705, 1};
};

/// Guards against shares that follow the demand for one placement of the callers only.
TEST_F(limit_replay_fixture, calm_waves_with_other_placements_refuse_under_one_percent)
{
    for (const std::uint32_t seed : {2U, 3U}) {
        limit_replay other{host_count, customer_count, 705, seed};
        other.run(milliseconds{15'000});
        other.reset_counts();
        other.run(milliseconds{30'000});
        std::printf("seed %u: refused %.4f\n", seed, other.refused_share());
        EXPECT_LT(other.refused_share(), 0.01);
        EXPECT_EQ(other.excess(), 0U);
    }
}

/// Guards against shares that don't follow the demand: refusals although each customer is below its limit.
TEST_F(limit_replay_fixture, calm_waves_refuse_under_one_percent)
{
    m_replay.run(milliseconds{60'000});
    report("calm");
    EXPECT_LT(m_replay.refused_share(), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against a bound that only holds in calm, and against an overloaded customer that gets much less or
/// much more than its limit, or takes from the others.
TEST_F(limit_replay_fixture, customer_at_seven_times_its_demand_gets_its_limit)
{
    for (const int customer : {0, 10, 40}) {
        m_replay.set_demand_factor(customer, 7.5);
    }
    m_replay.run(milliseconds{10'000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{30'000});
    report("7.5 times");
    for (const int customer : {0, 10, 40}) {
        const double served = static_cast<double>(m_replay.started(customer)) / 30;
        std::printf("customer %d: served %.2f/s of %.2f/s\n", customer, served,
                    m_replay.limit_rate(customer));
        EXPECT_GT(served, 0.9 * m_replay.limit_rate(customer));
        EXPECT_LT(served, 1.2 * m_replay.limit_rate(customer) + 1);
    }
    EXPECT_LT(m_replay.refused_share(1), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against a customer whose operations run in the first moments of each window only.
TEST_F(limit_replay_fixture, customer_at_seven_times_its_demand_is_served_evenly)
{
    m_replay.set_demand_factor(0, 7.5);
    m_replay.run(milliseconds{10'000});
    std::uint64_t least = 1'000'000;
    for (int second = 0; second < 20; ++second) {
        m_replay.reset_counts();
        m_replay.run(milliseconds{1000});
        least = std::min(least, m_replay.started(0));
    }
    std::printf("worst second: %llu of %.0f\n", static_cast<unsigned long long>(least),
                m_replay.limit_rate(0));
    EXPECT_GT(static_cast<double>(least), 0.6 * m_replay.limit_rate(0));
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against the share of a killed host being used twice: by what it started last and by the others.
TEST_F(limit_replay_fixture, hosts_that_end_with_their_shares_do_not_break_the_bound)
{
    m_replay.set_demand_factor(0, 7.5);
    m_replay.run(milliseconds{5000});
    for (int host = 0; host < 20; ++host) {
        m_replay.kill(host);
    }
    m_replay.run(milliseconds{15'000});
    report("20 hosts killed");
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against a released share being given away while its last operations are in the window.
TEST_F(limit_replay_fixture, hosts_that_stop_one_after_another_do_not_break_the_bound)
{
    m_replay.set_demand_factor(0, 7.5);
    for (int host = 0; host < 20; ++host) {
        m_replay.stop(host);
        m_replay.run(milliseconds{500});
        m_replay.restart(host);
        m_replay.run(milliseconds{500});
    }
    report("rolling restart");
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against a host that goes on without control, beyond the bound or without end.
TEST_F(limit_replay_fixture, hosts_cut_off_from_control_go_on_within_the_bound)
{
    m_replay.set_demand_factor(0, 7.5);
    m_replay.run(milliseconds{5000});
    for (int host = 0; host < 12; ++host) {
        m_replay.set_connected(host, false);
    }
    m_replay.run(milliseconds{20'000});
    for (int host = 0; host < 12; ++host) {
        m_replay.set_connected(host, true);
    }
    m_replay.run(milliseconds{5000});
    report("12 hosts cut off");
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against a new leader that gives away what hosts hold that it has not heard, and against one that
/// gives nothing.
TEST_F(limit_replay_fixture, changes_of_the_leader_keep_the_bound_and_the_shares)
{
    m_replay.set_demand_factor(10, 7.5);
    for (int change = 0; change < 8; ++change) {
        m_replay.set_control_available(false);
        m_replay.run(milliseconds{700});
        m_replay.change_leader();
        m_replay.set_control_available(true);
        m_replay.run(milliseconds{2300});
    }
    report("leader changes");
    EXPECT_LT(m_replay.refused_share(0), 0.02);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against shares that end, or stay unusable, while control is unavailable for a few seconds.
TEST_F(limit_replay_fixture, four_seconds_without_control_refuse_little)
{
    m_replay.set_control_available(false);
    m_replay.run(milliseconds{4000});
    report("4 s without control");
    EXPECT_LT(m_replay.refused_share(), 0.12);
    EXPECT_LT(m_replay.refused_share(0), 0.04);
    EXPECT_EQ(m_replay.excess(), 0U);
    m_replay.set_control_available(true);
    m_replay.run(milliseconds{1000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{10'000});
    report("from 1 s after 4 s without control");
    EXPECT_LT(m_replay.refused_share(), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against hosts that keep the quotas of the higher limit.
TEST_F(limit_replay_fixture, lowered_limit_binds_one_window_later)
{
    for (const int customer : {0, 10, 40}) {
        m_replay.set_demand_factor(customer, 7.5);
    }
    m_replay.run(milliseconds{5000});
    for (int host = 0; host < 12; ++host) {
        m_replay.set_connected(host, false);
    }
    for (const int customer : {0, 10, 40}) {
        m_replay.set_limit_factor(customer, 0.4);
    }
    m_replay.run(milliseconds{10'000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{10'000});
    report("lowered limit");
    EXPECT_EQ(m_replay.excess(), 0U);
    for (const int customer : {0, 10}) {
        EXPECT_GT(static_cast<double>(m_replay.started(customer)) / 10, 0.8 * m_replay.limit_rate(customer));
    }
}

/// Guards against new processes that get nothing while the shares of the ended ones still count, and against
/// shares that are counted once only.
TEST_F(limit_replay_fixture, restart_of_55_percent_of_the_hosts_keeps_the_bound)
{
    for (int host = 0; host < 38; ++host) {
        m_replay.kill(host);
    }
    m_replay.run(milliseconds{2000});
    for (int host = 0; host < 38; ++host) {
        m_replay.restart(host);
    }
    m_replay.reset_counts();
    m_replay.run(milliseconds{2000});
    report("first 2 s after the restart of 38 hosts");
    m_replay.reset_counts();
    m_replay.run(milliseconds{5000});
    report("next 5 s, in which the shares of the ended processes count");
    EXPECT_LT(m_replay.refused_share(), 0.25);
    m_replay.run(milliseconds{1000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{10'000});
    report("from 8 s after the restart");
    EXPECT_LT(m_replay.refused_share(), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against survivors that stay without operations because the ended hosts hold them.
TEST_F(limit_replay_fixture, callers_of_ended_hosts_are_served_by_the_others)
{
    for (int host = 0; host < 38; ++host) {
        m_replay.kill(host);
    }
    for (int customer = 0; customer < customer_count; ++customer) {
        m_replay.move_callers(customer, 38, host_count - 38);
    }
    m_replay.run(milliseconds{1000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{9000});
    report("1 to 10 s after the end of 38 hosts, callers at the others");
    EXPECT_LT(m_replay.refused_share(), 0.25);
    m_replay.run(milliseconds{1000});
    m_replay.reset_counts();
    m_replay.run(milliseconds{10'000});
    report("from 11 s after it");
    EXPECT_LT(m_replay.refused_share(), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against operations that are given away while they are still in the window: callers with demand far
/// above the limit use up what a zone has and go to the next, where hosts are restarted as well. Without
/// counting started operations as held, this replay exceeds the bound.
TEST_F(limit_replay_fixture, overloaded_callers_that_change_zone_each_second_stay_within_the_bound)
{
    for (int round = 0; round < 30; ++round) {
        const int zone = round % 3 * 23;
        for (const int customer : {0, 5, 10, 20, 40}) {
            // Pauses fill the customers' burst again.
            m_replay.set_demand_factor(customer, round % 10 < 6 ? 20 : 0);
            m_replay.move_callers(customer, zone, 23);
        }
        for (int host = zone; host < zone + 4; ++host) {
            m_replay.restart(host);
        }
        m_replay.run(milliseconds{1000});
    }
    report("callers that change the zone each second");
    EXPECT_EQ(m_replay.excess(), 0U);
}

/// Guards against shares that stay where the callers were.
TEST_F(limit_replay_fixture, callers_that_move_to_another_zone_are_served_there)
{
    for (const int customer : {0, 1, 10, 40}) {
        m_replay.move_callers(customer, 0, 23);
    }
    m_replay.run(milliseconds{10'000});
    for (const int customer : {0, 1, 10, 40}) {
        m_replay.move_callers(customer, 30, 23);
    }
    m_replay.reset_counts();
    m_replay.run(milliseconds{1000});
    report("first second after the move");
    EXPECT_LT(m_replay.refused_share(0), 0.1);
    m_replay.reset_counts();
    m_replay.run(milliseconds{5000});
    report("next 5 s");
    EXPECT_LT(m_replay.refused_share(0), 0.03);
    EXPECT_LT(m_replay.refused_share(1), 0.05);
    m_replay.reset_counts();
    m_replay.run(milliseconds{10'000});
    report("from 6 s after the move");
    EXPECT_LT(m_replay.refused_share(), 0.01);
    EXPECT_EQ(m_replay.excess(), 0U);
}

} // namespace
} // namespace hickorymount::limits
