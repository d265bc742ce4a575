#include "consensus/internal/membership_planner.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::consensus::detail {
namespace {

/// The members of a leader "a", all of which have just responded.
class membership_planner_fixture : public ::testing::Test
{
protected:
    static member host(const std::string& name, const std::string& identity = "first")
    {
        return {host_name{name}, data_folder_id{name + "-" + identity}};
    }

    void set_members(const std::vector<member>& voters, const std::vector<member>& learners)
    {
        m_members.voters = voters;
        m_members.learners = learners;
        m_statuses.clear();
        for (const member& each : voters) {
            m_statuses.push_back({each, true, milliseconds{0}});
        }
        for (const member& each : learners) {
            m_statuses.push_back({each, true, milliseconds{0}});
        }
    }

    member_status& status_of(const member& each)
    {
        for (member_status& status : m_statuses) {
            if (status.host == each) {
                return status;
            }
        }
        return m_statuses.front();
    }

    [[nodiscard]] std::optional<membership> plan() const { return plan_membership(m_members, m_statuses); }

    membership m_members;
    std::vector<member_status> m_statuses;
};

TEST_F(membership_planner_fixture, single_spare_is_left_alone_while_all_voters_respond)
{
    set_members({host("a"), host("b"), host("c")}, {host("d")});
    EXPECT_FALSE(plan());
}

TEST_F(membership_planner_fixture, silent_voter_is_replaced_by_the_spare_in_one_joint_change)
{
    set_members({host("a"), host("b"), host("c")}, {host("d")});
    status_of(host("b")).silent_for = silent_voter_replacement_delay;
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters, (std::vector<member>{host("a"), host("d"), host("c")}));
    EXPECT_EQ(next->outgoing_voters, m_members.voters);
    EXPECT_TRUE(next->learners.empty());
}

TEST_F(membership_planner_fixture, joint_membership_is_followed_by_its_new_voters_alone)
{
    set_members({host("a"), host("d"), host("c")}, {});
    m_members.outgoing_voters = {host("a"), host("b"), host("c")};
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters, m_members.voters);
    EXPECT_FALSE(next->outgoing_voters);
}

TEST_F(membership_planner_fixture, leaving_voter_is_replaced_at_once)
{
    set_members({host("a"), host("b"), host("c")}, {host("d")});
    status_of(host("a")).is_leaving = true;
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters, (std::vector<member>{host("d"), host("b"), host("c")}));
    EXPECT_EQ(next->outgoing_voters, m_members.voters);
}

TEST_F(membership_planner_fixture, leaving_voter_keeps_its_place_without_a_spare)
{
    set_members({host("a"), host("b"), host("c")}, {});
    status_of(host("a")).is_leaving = true;
    EXPECT_FALSE(plan());
}

TEST_F(membership_planner_fixture, silent_voter_keeps_its_place_while_no_learner_has_caught_up)
{
    set_members({host("a"), host("b"), host("c")}, {host("d")});
    status_of(host("b")).silent_for = voter_removal_delay;
    status_of(host("d")).is_caught_up = false;
    EXPECT_FALSE(plan());
}

TEST_F(membership_planner_fixture, new_identity_of_a_voter_replaces_the_earlier_one)
{
    set_members({host("a"), host("b"), host("c")}, {host("b", "second")});
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters, (std::vector<member>{host("a"), host("b", "second"), host("c")}));
    EXPECT_EQ(next->outgoing_voters, m_members.voters);
}

TEST_F(membership_planner_fixture, two_spares_become_voters_together)
{
    set_members({host("a"), host("b"), host("c")}, {host("d"), host("e")});
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters.size(), 5U);
    EXPECT_EQ(next->outgoing_voters, m_members.voters);
}

TEST_F(membership_planner_fixture, learner_joins_voters_that_are_too_few)
{
    set_members({host("a"), host("b")}, {host("c")});
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters.size(), 3U);
    EXPECT_FALSE(next->outgoing_voters);
}

TEST_F(membership_planner_fixture, silent_voter_beyond_the_minimum_is_removed_without_a_spare)
{
    set_members({host("a"), host("b"), host("c"), host("d"), host("e")}, {});
    status_of(host("e")).silent_for = voter_removal_delay;
    const auto next = plan();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->voters.size(), 4U);
}

} // namespace
} // namespace hickorymount::consensus::detail
