#include "consensus/tests/simulated_cluster.h"

#include <gtest/gtest.h>

namespace hickorymount::consensus {
namespace {

constexpr milliseconds join_time{3000};
/// Bound of a small deployment for control to lead again after all hosts are back.
constexpr milliseconds recovery_time{12'000};
/// Time for which a host with a lost disk still counts as lost.
constexpr milliseconds catch_up_time{4000};
constexpr milliseconds down_time{3000};
/// Longest time between the departure of a host and the loss of another one.
constexpr milliseconds longest_gap{5000};
constexpr milliseconds gap_step{50};
/// The longest time that a host which stops as planned waits for its replacement.
constexpr milliseconds longest_departure{1500};
/// A silent host is replaced within this time: the delay, an election, and two log entries.
constexpr milliseconds replacement_time =
    silent_voter_replacement_delay + 2 * election_timeout_max + 4 * heartbeat_interval;

/// Which host goes for good, which other one is lost next, how long after, and whether with its disk.
struct loss_schedule
{
    std::string gone;
    std::string lost;
    milliseconds gap{0};
    bool loses_disk = false;
};

std::string describe(const loss_schedule& schedule)
{
    return schedule.gone + " goes, after " + std::to_string(schedule.gap.count()) + " ms " + schedule.lost +
           (schedule.loses_disk ? " loses its disk" : " is killed");
}

std::vector<loss_schedule> all_schedules(milliseconds first_gap, milliseconds step, bool loses_disk)
{
    std::vector<loss_schedule> schedules;
    for (const char* gone : {"a", "b", "c"}) {
        for (const char* lost : {"a", "b", "c", "d"}) {
            for (milliseconds gap = first_gap; gap <= longest_gap; gap += step) {
                if (std::string(gone) != lost) {
                    schedules.push_back({gone, lost, gap, loses_disk});
                }
            }
        }
    }
    return schedules;
}

/// Three founders "a", "b" and "c", and a fourth host "d" that has joined as the spare. Orders of events are
/// tried exhaustively, each in a new cluster.
class membership_fixture : public ::testing::Test
{
protected:
    membership_fixture() { start_cluster(); }

    void start_cluster()
    {
        m_cluster = simulated_cluster{};
        m_cluster.start_founders({"a", "b", "c"});
        m_cluster.advance(join_time);
        m_cluster.add_host("d");
        m_cluster.advance(join_time);
    }

    void lose_and_return(const loss_schedule& schedule)
    {
        m_cluster.advance(schedule.gap);
        m_cluster.kill(schedule.lost);
        if (schedule.loses_disk) {
            m_cluster.wipe(schedule.lost);
        }
        m_cluster.advance(down_time);
        m_cluster.restart(schedule.lost);
        m_cluster.advance(schedule.loses_disk ? catch_up_time : milliseconds{0});
    }

    /// Returns false if the host did not hand over its place in time.
    bool stop_as_planned(const std::string& name)
    {
        m_cluster.apply_event(name, departure_requested{});
        for (milliseconds waited{0}; has_place_to_hand_over(m_cluster.state_of(name));
             waited += simulated_cluster::step_duration) {
            if (waited >= longest_departure) {
                return false;
            }
            m_cluster.advance(simulated_cluster::step_duration);
        }
        m_cluster.kill(name);
        return true;
    }

    /// Checks that control leads, commits, and has its full number of voters within the bound.
    void expect_recovery()
    {
        m_cluster.advance(recovery_time);
        ASSERT_TRUE(m_cluster.leader());
        const log_index before = m_cluster.state_of(*m_cluster.leader()).commit_index;
        ASSERT_TRUE(m_cluster.propose());
        m_cluster.advance(milliseconds{500});
        ASSERT_TRUE(m_cluster.leader());
        EXPECT_GT(m_cluster.state_of(*m_cluster.leader()).commit_index, before);
        EXPECT_EQ(m_cluster.voters().size(), 3U);
        EXPECT_EQ(m_cluster.conflicts(), std::vector<std::string>{});
    }

    simulated_cluster m_cluster;
};

// Guards against CONFIG of review/3: a host that was killed while it became a voter gave no votes afterwards,
// and no leader could be elected.
TEST_F(membership_fixture, control_leads_again_when_a_host_is_killed_after_another_has_gone)
{
    for (const loss_schedule& schedule : all_schedules(milliseconds{0}, gap_step, false)) {
        SCOPED_TRACE(describe(schedule));
        start_cluster();
        m_cluster.kill(schedule.gone);
        lose_and_return(schedule);
        expect_recovery();
    }
}

TEST_F(membership_fixture, control_leads_again_when_a_disk_is_lost_after_a_gone_host_was_replaced)
{
    for (const loss_schedule& schedule : all_schedules(replacement_time, gap_step, true)) {
        SCOPED_TRACE(describe(schedule));
        start_cluster();
        m_cluster.kill(schedule.gone);
        lose_and_return(schedule);
        expect_recovery();
    }
}

// Guards against CONFIG of review/4: a host that stopped as planned kept its place, and one lost disk later
// no leader could be elected.
TEST_F(membership_fixture, control_leads_again_when_a_host_is_lost_after_a_planned_replacement)
{
    for (const bool loses_disk : {false, true}) {
        for (const loss_schedule& schedule : all_schedules(milliseconds{0}, gap_step, loses_disk)) {
            SCOPED_TRACE(describe(schedule));
            start_cluster();
            ASSERT_TRUE(stop_as_planned(schedule.gone));
            lose_and_return(schedule);
            expect_recovery();
            EXPECT_EQ(m_cluster.voters().count(schedule.gone), 0U);
        }
    }
}

TEST_F(membership_fixture, control_leads_again_when_a_host_is_killed_at_any_moment_of_a_hand_over)
{
    for (milliseconds moment{0}; moment <= milliseconds{300}; moment += simulated_cluster::step_duration) {
        for (const loss_schedule& schedule : all_schedules(longest_gap, gap_step, false)) {
            SCOPED_TRACE(describe(schedule) + ", killed after " + std::to_string(moment.count()) + " ms");
            start_cluster();
            m_cluster.apply_event(schedule.gone, departure_requested{});
            m_cluster.advance(moment);
            m_cluster.kill(schedule.lost);
            m_cluster.advance(longest_departure);
            m_cluster.kill(schedule.gone);
            m_cluster.advance(down_time);
            m_cluster.restart(schedule.lost);
            expect_recovery();
        }
    }
}

TEST_F(membership_fixture, host_that_was_replaced_and_starts_again_becomes_the_spare)
{
    ASSERT_TRUE(stop_as_planned("a"));
    m_cluster.advance(join_time);
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"b", "c", "d"}));
    m_cluster.restart("a");
    expect_recovery();
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"b", "c", "d"}));
    EXPECT_EQ(m_cluster.state_of(*m_cluster.leader()).members.learners.size(), 1U);
}

TEST_F(membership_fixture, host_that_stops_without_a_spare_does_not_wait_and_keeps_its_place)
{
    m_cluster = simulated_cluster{};
    m_cluster.start_founders({"a", "b", "c"});
    m_cluster.advance(join_time);
    m_cluster.apply_event("a", departure_requested{});
    EXPECT_FALSE(has_place_to_hand_over(m_cluster.state_of("a")));
    m_cluster.advance(join_time);
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"a", "b", "c"}));
}

TEST_F(membership_fixture, spare_stays_a_learner_while_all_voters_respond)
{
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"a", "b", "c"}));
    EXPECT_EQ(m_cluster.state_of(*m_cluster.leader()).members.learners.size(), 1U);
}

TEST_F(membership_fixture, host_that_restarts_in_time_keeps_its_place)
{
    m_cluster.kill("a");
    m_cluster.advance(silent_voter_replacement_delay - milliseconds{500});
    m_cluster.restart("a");
    expect_recovery();
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"a", "b", "c"}));
}

TEST_F(membership_fixture, host_with_a_lost_disk_gets_its_place_again)
{
    m_cluster.kill("b");
    m_cluster.wipe("b");
    m_cluster.restart("b");
    m_cluster.advance(join_time);
    EXPECT_EQ(m_cluster.voters(), (std::set<std::string>{"a", "b", "c"}));
    expect_recovery();
}

// Guards against two leaders that give orders at once: a suspended leader may still take itself for the
// leader when it wakes.
TEST_F(membership_fixture, no_two_hosts_are_certain_to_lead_at_the_same_time)
{
    for (milliseconds suspended{0}; suspended <= longest_gap; suspended += gap_step) {
        SCOPED_TRACE(suspended.count());
        start_cluster();
        const std::string first = *m_cluster.leader();
        EXPECT_GT(leadership_certain_until(m_cluster.state_of(first)), m_cluster.now());
        m_cluster.suspend(first);
        m_cluster.advance(suspended);
        if (suspended >= election_timeout_min) {
            EXPECT_LE(leadership_certain_until(m_cluster.state_of(first)), m_cluster.now());
        }
        m_cluster.resume(first);
        expect_recovery();
        EXPECT_EQ(m_cluster.most_certain_leaders(), 1U);
    }
}

TEST_F(membership_fixture, host_outside_the_membership_disrupts_no_leader)
{
    const std::string leading = *m_cluster.leader();
    const log_term term = m_cluster.state_of(leading).persistent_state.term;
    const std::string follower = leading == "a" ? "b" : "a";
    const member stranger{host_name{"x"}, data_folder_id{"x"}};
    m_cluster.apply_event(
        follower, message_received{host_name{"x"}, vote_request{false, term + 5, stranger, 1000, term}});
    EXPECT_EQ(m_cluster.state_of(follower).persistent_state.term, term);
    m_cluster.advance(milliseconds{200});
    EXPECT_EQ(m_cluster.leader(), leading);
}

} // namespace
} // namespace hickorymount::consensus
