#include "supervision/internal/successor_choice.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision::detail {
namespace {

using session_token::group_position;

constexpr group_position behind{1, 40};
constexpr group_position acknowledged{1, 60};
constexpr group_position ahead{1, 65};

/// A group whose primary "first" had the replicas "second" and "third" when its term was closed.
class successor_choice_fixture : public ::testing::Test
{
protected:
    successor_choice_fixture()
    {
        for (const char* name : {"first", "second", "third"}) {
            server_log log;
            log.name = backend_server_name{name};
            log.was_primary = log.name.value == "first";
            m_question.servers.push_back(log);
        }
        m_question.acknowledged = {acknowledged, true};
    }

    server_log& server(const std::string& name)
    {
        for (server_log& each : m_question.servers) {
            if (each.name.value == name) {
                return each;
            }
        }
        return m_question.servers.front();
    }

    /// Returns the chosen server without further waiting, or an empty text.
    [[nodiscard]] std::string choice() const
    {
        const auto chosen = choose_successor(m_question);
        return chosen ? chosen->value : "";
    }

    /// Returns the chosen server after the missing answers have had their time, or an empty text.
    [[nodiscard]] std::string late_choice() const
    {
        successor_question question = m_question;
        question.has_waited = true;
        const auto chosen = choose_successor(question);
        return chosen ? chosen->value : "";
    }

    successor_question m_question;
};

TEST_F(successor_choice_fixture, furthest_of_all_replicas_is_chosen_even_below_the_acknowledged_position)
{
    // The primary reports the end of its log with an acknowledgement, which may be beyond the commit.
    server("second").position = behind;
    server("third").position = group_position{1, 59};
    EXPECT_EQ(choice(), "third");
}

TEST_F(successor_choice_fixture, replica_with_all_acknowledged_commits_is_chosen_after_a_short_wait)
{
    server("second").position = acknowledged;
    EXPECT_EQ(choice(), "");
    EXPECT_EQ(late_choice(), "second");
}

// Guards against promoting the only replica that answers while another one, which has acknowledged commits,
// is silent.
TEST_F(successor_choice_fixture, replica_that_lacks_acknowledged_commits_is_not_chosen_while_one_is_silent)
{
    server("second").position = behind;
    EXPECT_EQ(late_choice(), "");
}

TEST_F(successor_choice_fixture, no_replica_is_chosen_by_an_acknowledged_position_that_may_be_too_low)
{
    m_question.acknowledged.is_known = false;
    server("second").position = ahead;
    EXPECT_EQ(late_choice(), "");
    server("third").position = behind;
    EXPECT_EQ(choice(), "second");
}

// Guards against LOST of review/1: the replica that held the commits has left, and the other lacks them.
TEST_F(successor_choice_fixture, living_primary_leads_on_when_the_replica_that_held_the_commits_has_left)
{
    m_question.expects_primary = m_question.replaces_primary = true;
    server("second").is_leaving = server("second").has_left = true;
    server("third").position = behind;
    EXPECT_EQ(late_choice(), "");
    server("first").position = ahead;
    EXPECT_EQ(choice(), "first");
}

TEST_F(successor_choice_fixture, living_primary_is_replaced_by_a_replica_that_holds_all_commits)
{
    m_question.expects_primary = m_question.replaces_primary = true;
    server("first").position = ahead;
    server("second").position = behind;
    EXPECT_EQ(choice(), "");
    server("third").position = acknowledged;
    EXPECT_EQ(choice(), "third");
}

TEST_F(successor_choice_fixture, lost_primary_that_has_returned_is_chosen_before_replicas_that_lack_commits)
{
    server("first").position = ahead;
    server("second").position = behind;
    EXPECT_EQ(late_choice(), "first");
}

TEST_F(successor_choice_fixture, primary_that_has_returned_without_its_log_is_not_chosen)
{
    m_question.acknowledged = {{}, false};
    server("first").position = group_position{1, 0};
    server("second").position = behind;
    EXPECT_EQ(late_choice(), "");
}

// Guards against LOST of review/2: the draining replica holds the commits and the other one lacks them.
TEST_F(successor_choice_fixture, replica_that_lacks_the_commits_of_a_draining_one_is_not_chosen)
{
    server("second").is_leaving = true;
    server("third").position = behind;
    EXPECT_EQ(late_choice(), "");
    server("second").position = acknowledged;
    EXPECT_EQ(late_choice(), "");
    server("first").position = ahead;
    EXPECT_EQ(late_choice(), "first");
}

TEST_F(successor_choice_fixture, draining_replica_is_chosen_when_no_other_server_has_returned_for_long)
{
    server("second").is_leaving = true;
    server("second").position = acknowledged;
    server("third").position = behind;
    m_question.may_choose_leaving = true;
    EXPECT_EQ(late_choice(), "second");
}

TEST_F(successor_choice_fixture, staying_replica_is_preferred_to_a_draining_one_that_is_further)
{
    m_question.may_choose_leaving = true;
    server("second").is_leaving = true;
    server("second").position = ahead;
    server("third").position = acknowledged;
    EXPECT_EQ(choice(), "third");
}

TEST_F(successor_choice_fixture, candidate_of_an_earlier_order_is_preferred_when_it_holds_all_commits)
{
    // The order may yet take effect, and would roll back the commits of another primary.
    m_question.named_candidate = backend_server_name{"second"};
    server("second").position = acknowledged;
    server("third").position = ahead;
    EXPECT_EQ(choice(), "second");
    server("second").position = behind;
    EXPECT_EQ(choice(), "third");
}

TEST_F(successor_choice_fixture, server_that_has_left_is_never_chosen)
{
    server("second").position = ahead;
    server("second").is_leaving = server("second").has_left = true;
    server("third").position = behind;
    EXPECT_EQ(late_choice(), "");
}

/// One row of a sweep: what each server reports. 0 nothing, 1 behind, 2 acknowledged, 3 ahead.
struct report_levels
{
    int first = 0;
    int second = 0;
    int third = 0;
};

// Guards the promise itself over all combinations of reports, departures and changes: the chosen server's
// log contains every commit that one replica has received and that may have been acknowledged.
TEST_F(successor_choice_fixture, chosen_server_lacks_no_acknowledged_commit_in_any_combination)
{
    const auto position_of = [](int level) -> std::optional<group_position> {
        const group_position levels[] = {{}, behind, acknowledged, ahead};
        return level == 0 ? std::nullopt : std::optional(levels[level]);
    };
    int chosen_count = 0;
    for (int row = 0; row < 4 * 4 * 4 * 128; ++row) {
        const report_levels levels{row % 4, row / 4 % 4, row / 16 % 4};
        const int flags = row / 64;
        successor_question question = m_question;
        question.servers[0].position = position_of(levels.first);
        question.servers[1].position = position_of(levels.second);
        question.servers[2].position = position_of(levels.third);
        question.servers[1].is_leaving = (flags & 1) != 0;
        question.servers[1].has_left = (flags & 3) == 3;
        question.expects_primary = (flags & 4) != 0;
        question.replaces_primary = (flags & 12) == 12;
        question.acknowledged.is_known = (flags & 16) == 0;
        question.has_waited = (flags & 32) != 0;
        question.may_choose_leaving = (flags & 64) != 0;
        const auto chosen = choose_successor(question);
        if (!chosen) {
            continue;
        }
        ++chosen_count;
        const server_log& successor = *std::find_if(question.servers.begin(), question.servers.end(),
                                                    [&](const auto& each) { return each.name == *chosen; });
        ASSERT_TRUE(successor.position);
        EXPECT_FALSE(successor.has_left);
        // The commits may be anywhere that has not been ruled out: with a silent replica, only the
        // acknowledged position tells.
        const bool is_each_replica_known = question.servers[1].position && question.servers[2].position;
        if (is_each_replica_known) {
            const auto furthest = std::max(*question.servers[1].position, *question.servers[2].position);
            EXPECT_TRUE(*successor.position >= std::min(furthest, acknowledged)) << row;
        } else {
            EXPECT_GE(*successor.position, acknowledged) << row;
            EXPECT_TRUE(question.acknowledged.is_known || successor.was_primary) << row;
        }
    }
    EXPECT_GT(chosen_count, 0);
}

} // namespace
} // namespace hickorymount::supervision::detail
