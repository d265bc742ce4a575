#include "node/tests/node_fixture.h"
#include "routing/types.h"
#include "sessions/types.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::node {
namespace {

/// Entry hosts behind slow links, and operators who replace large configurations in quick succession.
class configuration_storm_fixture : public node_fixture
{
protected:
    static constexpr int entry_host_count = 4;
    static constexpr int initial_routes = 40;
    /// 2 Mbit/s.
    static constexpr std::int64_t link_bytes_per_second = 250'000;
    static constexpr milliseconds storm_interval{250};
    static constexpr int storm_versions = 20;
    /// Longest time from the commit of a version until every entry host uses it or a newer one.
    static constexpr milliseconds apply_limit{3000};

    void SetUp() override
    {
        start_control_hosts(3);
        start_entry_hosts(entry_host_count);
        ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
        replace_configuration(initial_routes, milliseconds{800});
        ASSERT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }));
        ASSERT_TRUE(advance_until([this] { return have_all_leases(); }));
        for (const std::string& host : entry_hosts()) {
            set_link_rate(host, link_bytes_per_second);
        }
    }

    static std::vector<std::string> entry_hosts()
    {
        std::vector<std::string> names;
        for (int index = 1; index <= entry_host_count; ++index) {
            names.push_back("entry-" + std::to_string(index));
        }
        return names;
    }

    /// A configuration as operators send it: the routes and their document, of about 210 bytes a route.
    static configuration::configuration configuration_with(int routes, milliseconds first_timeout)
    {
        constexpr std::size_t document_bytes_per_route = 210;
        configuration::configuration content;
        content.groups[group_name{"orders"}].connections = 20;
        for (int index = 0; index < routes; ++index) {
            configuration::database_route route;
            route.name = fmt::format("r-{:07}", index);
            route.database = fmt::format("tenant{:05}", index);
            route.path_prefix = "/";
            route.group = group_name{"orders"};
            route.consistency = configuration::read_consistency::read_your_writes;
            route.max_staleness = milliseconds{2500};
            route.statement_timeout = index == 0 ? first_timeout : milliseconds{800};
            route.target_latency = milliseconds{800};
            route.max_attempts = 2;
            content.database_routes.push_back(std::move(route));
        }
        content.source_document = std::string(document_bytes_per_route * content.database_routes.size(), 'x');
        return content;
    }

    /// Sends the next version to the leader.
    void replace_configuration(int routes, milliseconds first_timeout)
    {
        ++m_version;
        send_operator_request(leader(),
                              supervision::configuration_replacement_requested{
                                  m_version, {m_version, false, configuration_with(routes, first_timeout)}});
    }

    /// Sends `storm_versions` versions that differ in one time limit each.
    void run_storm(int routes)
    {
        for (int index = 0; index < storm_versions; ++index) {
            replace_configuration(routes, milliseconds{801 + index});
            advance(storm_interval);
            EXPECT_TRUE(have_all_leases()) << "version " << m_version;
        }
    }

    bool is_in_force_everywhere(std::uint64_t version) const
    {
        const std::vector<std::string> hosts = entry_hosts();
        return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
            return entry_state_of(host).configuration->version >= version;
        });
    }

    bool have_all_leases() const
    {
        const std::vector<std::string> hosts = entry_hosts();
        return std::all_of(hosts.begin(), hosts.end(),
                           [this](const std::string& host) { return entry_state_of(host).lease.was_valid; });
    }

    milliseconds longest_wait() const
    {
        milliseconds longest{0};
        for (const std::string& host : entry_hosts()) {
            longest = std::max(longest, longest_link_wait(host));
        }
        return longest;
    }

    std::uint64_t m_version = 0;
};

TEST_F(configuration_storm_fixture, large_configuration_delays_other_messages_less_than_any_time_limit)
{
    for (const int routes : {350, 1400}) {
        replace_configuration(routes, milliseconds{800});
        EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
        advance(apply_limit);
        EXPECT_LT(longest_wait(), sessions::relay_connect_timeout) << routes << " routes";
        EXPECT_TRUE(have_all_leases()) << routes << " routes";
    }
}

TEST_F(configuration_storm_fixture, storm_of_large_configurations_keeps_leases_and_comes_into_force)
{
    for (const int routes : {350, 1400}) {
        run_storm(routes);
        EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
        EXPECT_LT(longest_wait(), sessions::relay_connect_timeout) << routes << " routes";
    }
}

/// Records the configurations that are sent to `watched_host`, and drops them on demand.
class configuration_transfer_fixture : public configuration_storm_fixture
{
protected:
    static constexpr const char* watched_host = "entry-1";

    void SetUp() override
    {
        configuration_storm_fixture::SetUp();
        message_filter = [this](const std::string&, const std::string& to, const protocol::message& content) {
            const auto* update = std::get_if<protocol::configuration_update>(&content);
            if (update != nullptr && to == watched_host) {
                m_sent_updates.push_back(*update->difference);
                return m_are_updates_delivered;
            }
            return true;
        };
    }

    std::vector<configuration::configuration_difference> m_sent_updates;
    bool m_are_updates_delivered = true;
};

TEST_F(configuration_transfer_fixture, update_is_sent_once_over_a_link_slower_than_the_lease_renewals)
{
    constexpr std::int64_t slow_bytes_per_second = 8'000;
    set_link_rate(watched_host, slow_bytes_per_second);
    replace_configuration(350, milliseconds{800});
    EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
    EXPECT_EQ(m_sent_updates.size(), 1U);
    EXPECT_GT(longest_link_wait(watched_host), routing::lease_renewal_interval);
    EXPECT_TRUE(have_all_leases());
}

TEST_F(configuration_transfer_fixture, lost_update_is_sent_again)
{
    m_are_updates_delivered = false;
    replace_configuration(350, milliseconds{800});
    ASSERT_TRUE(advance_until([this] { return m_sent_updates.size() == 1; }));
    m_are_updates_delivered = true;
    EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
    EXPECT_EQ(m_sent_updates.size(), 2U);
}

TEST_F(configuration_transfer_fixture, versions_of_a_storm_are_skipped_while_one_is_in_transit)
{
    constexpr std::int64_t slow_bytes_per_second = 8'000;
    set_link_rate(watched_host, slow_bytes_per_second);
    for (int index = 0; index < storm_versions; ++index) {
        replace_configuration(350, milliseconds{801 + index});
        advance(milliseconds{50});
    }
    EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
    EXPECT_LE(m_sent_updates.size(), 3U);
}

TEST_F(configuration_transfer_fixture, host_back_after_many_versions_gets_a_complete_configuration)
{
    kill(watched_host);
    for (int index = 0; index < storm_versions; ++index) {
        replace_configuration(60, milliseconds{801 + index});
        advance(storm_interval);
    }
    m_sent_updates.clear();
    restart(watched_host);
    ASSERT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
    ASSERT_EQ(m_sent_updates.size(), 1U);
    EXPECT_EQ(m_sent_updates.front().base_version, 0U);
    EXPECT_EQ(entry_state_of(watched_host).configuration->content.database_routes.size(), 60U);
}

TEST_F(configuration_transfer_fixture, new_leader_sends_the_newest_version_to_hosts_that_lack_it)
{
    m_are_updates_delivered = false;
    replace_configuration(60, milliseconds{900});
    advance(storm_interval);
    const std::string old_leader = leader();
    kill(old_leader);
    m_are_updates_delivered = true;
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    EXPECT_TRUE(advance_until([this] { return is_in_force_everywhere(m_version); }, apply_limit));
}

} // namespace
} // namespace hickorymount::node
