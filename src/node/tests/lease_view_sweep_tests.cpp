#include "node/tests/lease_view_world.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::node {
namespace {

/// Visits the worlds that all sequences of steps lead to, each once and by its shortest sequence.
class lease_view_sweep_fixture : public ::testing::Test
{
protected:
    struct visited_world
    {
        lease_view_world world;
        std::size_t parent = 0;
        world_step step;
        std::size_t depth = 0;
    };

    /// Calls `visit` for each world until it returns false.
    void sweep(const step_budget& budget, std::size_t max_depth,
               const std::function<bool(const visited_world&)>& visit)
    {
        add({lease_view_world(budget), 0, {}, 0});
        for (std::size_t at = 0; at < m_visited.size(); ++at) {
            if (!visit(m_visited[at])) {
                m_last = at;
                return;
            }
            if (m_visited[at].depth == max_depth) {
                continue;
            }
            for (const world_step& step : m_visited[at].world.possible_steps()) {
                visited_world next{m_visited[at].world, at, step, m_visited[at].depth + 1};
                next.world.apply(step);
                add(std::move(next));
            }
        }
    }

    void add(visited_world visited)
    {
        visited.world.use_pools(m_pools);
        auto& known = m_positions_by_hash[visited.world.hash()];
        const bool is_known = std::any_of(known.begin(), known.end(), [&](std::size_t at) {
            return m_visited[at].world == visited.world &&
                   m_visited[at].world.violation() == visited.world.violation();
        });
        if (!is_known) {
            known.push_back(m_visited.size());
            m_visited.push_back(std::move(visited));
        }
    }

    /// The sequence of steps to the world at which the sweep ended, with the time after each step.
    [[nodiscard]] std::string path_to_last() const
    {
        std::vector<std::size_t> path;
        for (std::size_t at = m_last; at != 0; at = m_visited[at].parent) {
            path.push_back(at);
        }
        std::reverse(path.begin(), path.end());
        std::string text;
        for (std::size_t number = 0; number < path.size(); ++number) {
            const visited_world& each = m_visited[path[number]];
            const milliseconds since_start = each.world.now() - m_visited.front().world.now();
            text += fmt::format("  {}. {} (at {} ms)\n", number + 1,
                                m_visited[each.parent].world.describe(each.step), since_start.count());
        }
        return text;
    }

    /// Fails with the shortest sequence of steps after which an entry host may use the wrong primary.
    void expect_no_wrong_primary(const step_budget& budget, std::size_t max_depth)
    {
        routing::group_term newest_used = 0;
        sweep(budget, max_depth, [&](const visited_world& visited) {
            const auto usable = visited.world.usable_primary(0);
            newest_used = std::max(newest_used, usable ? usable->term : 0);
            return visited.world.violation().empty();
        });
        RecordProperty("visited_worlds", static_cast<int>(m_visited.size()));
        const std::string& violation = m_visited[m_last].world.violation();
        ASSERT_TRUE(violation.empty()) << violation << ", after\n" << path_to_last();
        EXPECT_GE(newest_used, 2U) << "no sequence of steps is long enough for a change of primary";
    }

    /// Fails with the shortest sequence of steps after which a connected entry host stays without a lease or
    /// without the newest view.
    void expect_recovery(const step_budget& budget, std::size_t max_depth)
    {
        int longest = 0;
        sweep(budget, max_depth, [&](const visited_world& visited) {
            lease_view_world world = visited.world;
            longest = std::max(longest, world.recover(max_recovery_intervals));
            return longest < max_recovery_intervals;
        });
        RecordProperty("visited_worlds", static_cast<int>(m_visited.size()));
        RecordProperty("longest_recovery_intervals", longest);
        EXPECT_LT(longest, max_recovery_intervals) << "after\n" << path_to_last();
    }

private:
    /// Renewal intervals within which every connected entry host has a lease and the newest view.
    static constexpr int max_recovery_intervals = 10;

    std::vector<visited_world> m_visited;
    std::size_t m_last = 0;
    world_pools m_pools;
    std::unordered_map<std::size_t, std::vector<std::size_t>> m_positions_by_hash;
};

TEST_F(lease_view_sweep_fixture, no_older_primary_is_usable_after_disconnections_and_a_change_of_leader)
{
    expect_no_wrong_primary({.disconnects = 2,
                             .closed_terms = 1,
                             .leader_changes = 1,
                             .renewals = 1,
                             .lease_ends = 2,
                             .is_second_prompt = true},
                            9);
}

TEST_F(lease_view_sweep_fixture, no_older_primary_is_usable_after_a_disconnection_and_two_changes_of_primary)
{
    expect_no_wrong_primary(
        {.disconnects = 1, .closed_terms = 2, .renewals = 1, .lease_ends = 2, .is_second_prompt = true}, 10);
}

TEST_F(lease_view_sweep_fixture, no_older_primary_is_usable_after_disconnections_of_both_entry_hosts)
{
    expect_no_wrong_primary({.disconnects = 2, .closed_terms = 2, .lease_ends = 2, .passed_leases = 1}, 7);
}

TEST_F(lease_view_sweep_fixture, connected_entry_hosts_get_a_lease_and_the_newest_view)
{
    expect_recovery({.disconnects = 2,
                     .closed_terms = 2,
                     .leader_changes = 1,
                     .renewals = 1,
                     .lease_ends = 2,
                     .is_second_prompt = true},
                    6);
}

TEST_F(lease_view_sweep_fixture, both_entry_hosts_get_a_lease_and_the_newest_view_after_disconnections)
{
    expect_recovery({.disconnects = 2, .closed_terms = 2, .lease_ends = 2, .passed_leases = 1}, 6);
}

} // namespace
} // namespace hickorymount::node
