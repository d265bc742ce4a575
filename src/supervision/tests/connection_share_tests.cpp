#include "supervision/reduce.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision {

/// A leader that was just elected, after every entry host was killed and started again: the directory still
/// holds the processes that ended.
class connection_share_fixture : public ::testing::Test
{
protected:
    static constexpr std::uint32_t connection_limit = 22;
    static constexpr int host_count = 7;

    connection_share_fixture()
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.own_term_start = m_consensus.commit = 1;
        m_consensus.leading_since = m_now;
        for (int host = 0; host < host_count; ++host) {
            admit(key_of(host, "ended"));
        }
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration.content.groups[group_name{"orders"}].connections = connection_limit;
        m_directory.configuration = shared_value(std::move(configuration));
        protocol::server_report report;
        report.name = backend_server_name{"first"};
        report.group = group_name{"orders"};
        report.address = {"10.0.0.9", 9000};
        report.speaks = protocol::server_interface::sessions;
        feed(server_announced{report});
    }

    static directory::entry_key key_of(int host, const std::string& incarnation)
    {
        return {host_name{"entry-" + std::to_string(host)}, incarnation_id{incarnation}};
    }

    void admit(const directory::entry_key& key)
    {
        m_directory.entry_hosts =
            std::move(m_directory.entry_hosts).set(key, directory::entry_record{availability_zone{"z"}, {}});
    }

    void feed(const supervision_event& what)
    {
        supervision_transition next =
            reduce(std::move(m_state), what, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        m_effects.insert(m_effects.end(), next.effects.begin(), next.effects.end());
    }

    /// The host's first request for a lease, its admission, and the share that it is granted.
    std::uint32_t share_of_new_process(int host)
    {
        const directory::entry_key key = key_of(host, "started");
        protocol::lease_request request;
        request.entry = key;
        request.zone = availability_zone{"z"};
        request.sequence = 1;
        m_now += milliseconds{10};
        feed(entry_message{key.name, request});
        admit(key);
        command_applied admitted;
        admitted.command = directory::admit_entry_host{key, availability_zone{"z"}};
        feed(admitted);
        ++m_consensus.round;
        m_consensus.confirmed_round = m_consensus.round;
        m_effects.clear();
        feed(log_progressed{});
        for (const supervision_effect& effect : m_effects) {
            const auto* sent = std::get_if<send_to_entry>(&effect);
            const auto* grant =
                sent == nullptr ? nullptr : std::get_if<protocol::lease_grant>(&sent->content);
            if (grant != nullptr && grant->entry == key) {
                return grant->connections.at(backend_server_name{"first"});
            }
        }
        ADD_FAILURE() << "no grant";
        return 0;
    }

    time_point m_now{milliseconds{10'000}};
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
    std::vector<supervision_effect> m_effects;
};

TEST_F(connection_share_fixture, processes_that_ended_hold_no_connections_back_from_their_successors)
{
    std::vector<std::uint32_t> shares;
    for (int host = 0; host < host_count; ++host) {
        shares.push_back(share_of_new_process(host));
    }
    // 20 of the 22 connections are shared by seven.
    EXPECT_GE(*std::min_element(shares.begin(), shares.end()), 2U);
    std::uint32_t sum = 0;
    for (const std::uint32_t share : shares) {
        sum += share;
    }
    EXPECT_LE(sum, connection_limit);
}

} // namespace hickorymount::supervision
