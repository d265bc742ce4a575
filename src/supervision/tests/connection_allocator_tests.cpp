#include "supervision/reduce.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision {

/// Guards against connections that stay reserved for ended processes. A leader is elected after every entry
/// host was killed and restarted; the directory still contains the ended processes.
class connection_allocator_fixture : public ::testing::Test
{
protected:
    static constexpr std::uint32_t connection_limit = 22;
    static constexpr int host_count = 7;

    explicit connection_allocator_fixture(
        std::uint32_t connections = connection_limit,
        protocol::server_interface interface = protocol::server_interface::sessions)
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.term_start_index = m_consensus.commit_index = 1;
        m_consensus.leading_since = m_now;
        for (int host = 0; host < host_count; ++host) {
            admit(key_of(host, "ended"));
        }
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration.content.groups[group_name{"orders"}].connections = connections;
        m_directory.configuration = shared_value(std::move(configuration));
        protocol::server_report report;
        report.name = backend_server_name{"first"};
        report.group = group_name{"orders"};
        report.address = {"10.0.0.9", 9000};
        report.interface = interface;
        apply_event(server_report_received{report});
    }

    static directory::entry_process_id key_of(int host, const std::string& incarnation)
    {
        return {host_name{"entry-" + std::to_string(host)}, incarnation_id{incarnation}};
    }

    void admit(const directory::entry_process_id& key)
    {
        m_directory.entry_hosts =
            std::move(m_directory.entry_hosts).set(key, directory::entry_record{availability_zone{"z"}, {}});
    }

    void apply_event(const supervision_event& event)
    {
        supervision_transition next =
            reduce(std::move(m_state), event, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        m_effects.insert(m_effects.end(), next.effects.begin(), next.effects.end());
    }

    /// Sends the first lease request of a new process, admits the process and returns the granted share.
    std::uint32_t granted_share_of_new_process(int host) { return granted_share(key_of(host, "started"), 0); }

    /// Sends the first lease request of a process that holds some connections, and returns the granted share.
    std::uint32_t granted_share(const directory::entry_process_id& key, std::uint32_t held)
    {
        protocol::lease_request request;
        if (held > 0) {
            request.held_connections[backend_server_name{"first"}] = held;
        }
        request.entry = key;
        request.zone = availability_zone{"z"};
        request.sequence = 1;
        m_now += milliseconds{10};
        apply_event(message_received{key.name, request});
        admit(key);
        command_applied admitted;
        admitted.command = directory::admit_entry_host{key, availability_zone{"z"}};
        apply_event(admitted);
        ++m_consensus.heartbeat_round;
        m_consensus.confirmed_heartbeat_round = m_consensus.heartbeat_round;
        m_effects.clear();
        apply_event(log_advanced{});
        for (const supervision_effect& effect : m_effects) {
            const auto* sent = std::get_if<send_to_entry_host>(&effect);
            const auto* grant =
                sent == nullptr ? nullptr : std::get_if<protocol::lease_grant>(&sent->content);
            if (grant != nullptr && grant->entry == key) {
                return grant->connection_limits.at(backend_server_name{"first"});
            }
        }
        ADD_FAILURE() << "the lease request got no grant";
        return 0;
    }

    time_point m_now{milliseconds{10'000}};
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
    std::vector<supervision_effect> m_effects;
};

TEST_F(connection_allocator_fixture,
       new_processes_after_restart_of_all_entry_hosts_get_the_connections_of_ended_processes)
{
    std::vector<std::uint32_t> shares;
    for (int host = 0; host < host_count; ++host) {
        shares.push_back(granted_share_of_new_process(host));
    }
    // Two of the 22 connections are reserved; seven entry hosts share the other 20.
    EXPECT_GE(*std::min_element(shares.begin(), shares.end()), 2U);
    std::uint32_t sum = 0;
    for (const std::uint32_t share : shares) {
        sum += share;
    }
    EXPECT_LE(sum, connection_limit);
}

TEST_F(connection_allocator_fixture, hosts_that_together_hold_more_than_the_limit_keep_their_fair_shares)
{
    constexpr std::uint32_t held = 6;
    for (int host = 0; host < host_count; ++host) {
        granted_share(key_of(host, "ended"), held);
    }
    for (int host = 0; host < host_count; ++host) {
        const std::uint32_t share = granted_share(key_of(host, "ended"), held);
        EXPECT_GE(share, 2U) << "host " << host;
        EXPECT_LE(share, connection_limit / host_count) << "host " << host;
    }
}

/// A leader is elected while three of seven entry hosts hold the three connections of a server.
class scarce_connections_fixture : public connection_allocator_fixture
{
protected:
    static constexpr std::uint32_t scarce_limit = 3;

    scarce_connections_fixture()
        : connection_allocator_fixture(scarce_limit, protocol::server_interface::http)
    {
    }
};

TEST_F(scarce_connections_fixture, new_leader_grants_no_connection_that_an_unheard_host_may_hold)
{
    for (int host = static_cast<int>(scarce_limit); host < host_count; ++host) {
        EXPECT_EQ(granted_share(key_of(host, "ended"), 0), 0U) << "host " << host;
    }
}

TEST_F(scarce_connections_fixture, hosts_beyond_a_lowered_limit_give_their_connections_up)
{
    constexpr int hosts_with_a_connection = 5;
    for (int host = 0; host < host_count; ++host) {
        granted_share(key_of(host, "ended"), host < hosts_with_a_connection ? 1 : 0);
    }
    std::uint32_t sum = 0;
    for (int host = 0; host < host_count; ++host) {
        sum += granted_share(key_of(host, "ended"), host < hosts_with_a_connection ? 1 : 0);
    }
    EXPECT_LE(sum, scarce_limit);
}

TEST_F(scarce_connections_fixture, holders_keep_their_connections_after_an_election)
{
    for (int host = 0; host < host_count; ++host) {
        const bool is_holder = host < static_cast<int>(scarce_limit);
        EXPECT_EQ(granted_share(key_of(host, "ended"), is_holder ? 1 : 0), is_holder ? 1U : 0U)
            << "host " << host;
    }
}

} // namespace hickorymount::supervision
