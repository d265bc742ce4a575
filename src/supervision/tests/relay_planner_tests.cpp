#include "supervision/internal/relay_planner.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision::detail {

/// Entry hosts in several availability zones.
class relay_planner_fixture : public ::testing::Test
{
protected:
    static std::vector<protocol::relay_host> hosts(std::size_t zones, std::size_t per_zone)
    {
        std::vector<protocol::relay_host> created;
        for (std::size_t zone = 0; zone < zones; ++zone) {
            for (std::size_t index = 0; index < per_zone; ++index) {
                const std::string name = "entry-" + std::to_string(zone) + "-" + std::to_string(index);
                created.push_back({host_name{name}, {"10.0.0.1", 7455}, zone_of(zone)});
            }
        }
        return created;
    }

    static availability_zone zone_of(std::size_t zone)
    {
        return availability_zone{"z" + std::to_string(zone)};
    }

    static std::set<host_name> names(const std::vector<protocol::relay_host>& relay_hosts)
    {
        std::set<host_name> host_names;
        for (const protocol::relay_host& each : relay_hosts) {
            host_names.insert(each.name);
        }
        return host_names;
    }

    const group_name m_group{"orders"};
};

TEST_F(relay_planner_fixture, few_hosts_with_enough_connections_all_open_connections)
{
    EXPECT_EQ(select_connection_holders(m_group, 22, hosts(3, 2)).size(), 6U);
}

TEST_F(relay_planner_fixture, many_hosts_with_few_connections_select_two_holders_per_zone)
{
    const auto holders = select_connection_holders(m_group, 47, hosts(6, 14));
    EXPECT_EQ(holders.size(), 12U);
    std::map<availability_zone, int> by_zone;
    for (const protocol::relay_host& each : holders) {
        ++by_zone[each.zone];
    }
    EXPECT_EQ(by_zone.size(), 6U);
    EXPECT_TRUE(
        std::all_of(by_zone.begin(), by_zone.end(), [](const auto& each) { return each.second == 2; }));
}

TEST_F(relay_planner_fixture, few_hosts_with_fewer_connections_than_needed_select_one_holder_per_zone)
{
    EXPECT_EQ(select_connection_holders(m_group, 5, hosts(3, 2)).size(), 3U);
}

TEST_F(relay_planner_fixture, selection_after_loss_of_a_holder_replaces_only_that_holder)
{
    auto all = hosts(6, 14);
    const auto before = names(select_connection_holders(m_group, 47, all));
    const host_name lost = *before.begin();
    std::erase_if(all, [&](const protocol::relay_host& each) { return each.name == lost; });
    const auto after = names(select_connection_holders(m_group, 47, all));
    std::set<host_name> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::inserter(kept, kept.begin()));
    EXPECT_EQ(kept.size(), before.size() - 1);
    EXPECT_EQ(after.size(), before.size());
}

TEST_F(relay_planner_fixture, holders_of_many_groups_are_spread_over_the_hosts)
{
    const auto all = hosts(6, 14);
    std::set<host_name> used;
    for (int group = 0; group < 40; ++group) {
        const group_name name{"group-" + std::to_string(group)};
        used.merge(names(select_connection_holders(name, 47, all)));
    }
    EXPECT_GT(used.size(), all.size() * 9 / 10);
}

TEST_F(relay_planner_fixture, host_without_connections_lists_relays_of_its_own_zone_before_others)
{
    const auto holders = select_connection_holders(m_group, 47, hosts(6, 14));
    host_name host_without_connections;
    for (const protocol::relay_host& each : hosts(6, 14)) {
        if (each.zone == zone_of(2) && !names(holders).contains(each.name)) {
            host_without_connections = each.name;
        }
    }
    const protocol::relay_plan plan =
        relay_plan_for(host_without_connections, zone_of(2), {{m_group, holders}});
    const protocol::group_access& access = plan.groups.at(m_group);
    EXPECT_FALSE(access.is_direct);
    ASSERT_EQ(access.relay_indexes.size(), 4U);
    EXPECT_EQ(plan.relays.at(access.relay_indexes[0]).zone, zone_of(2));
    EXPECT_EQ(plan.relays.at(access.relay_indexes[1]).zone, zone_of(2));
    EXPECT_NE(plan.relays.at(access.relay_indexes[2]).zone, zone_of(2));
}

TEST_F(relay_planner_fixture, host_with_connections_lists_other_holders_as_relays_but_not_itself)
{
    const auto all = hosts(3, 2);
    const protocol::relay_plan plan = relay_plan_for(all[0].name, all[0].zone, {{m_group, all}});
    const protocol::group_access& access = plan.groups.at(m_group);
    EXPECT_TRUE(access.is_direct);
    EXPECT_EQ(access.relay_indexes.size(), 3U);
    EXPECT_FALSE(names(plan.relays).contains(all[0].name));
}

TEST_F(relay_planner_fixture, group_without_holders_is_accessed_directly)
{
    const protocol::relay_plan plan = relay_plan_for(host_name{"entry"}, zone_of(0), {{m_group, {}}});
    EXPECT_TRUE(plan.groups.at(m_group).is_direct);
}

} // namespace hickorymount::supervision::detail
