#include "supervision/reduce.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision {

/// A leader that receives the lease requests of all entry hosts of a large deployment. A request waits for a
/// heartbeat round that a majority confirms, and meanwhile other events arrive, each of which looks at the
/// waiting requests.
class lease_request_fixture : public ::testing::Test
{
protected:
    static constexpr int hosts = 191;

    lease_request_fixture()
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.term_start_index = m_consensus.commit_index = 1;
        m_consensus.leading_since = m_now;
        m_consensus.heartbeat_round = 1;
        m_state.is_leading = true;
        m_state.leading_since = m_now;
        for (int at = 0; at < hosts; ++at) {
            admit(entry(at));
        }
    }

    static directory::entry_process_id entry(int at)
    {
        return {host_name{"entry-" + std::to_string(at)}, incarnation_id{"a"}};
    }

    void admit(const directory::entry_process_id& admitted)
    {
        m_directory.entry_hosts =
            std::move(m_directory.entry_hosts).set(admitted, {availability_zone{"a"}, std::nullopt});
        m_state.entry_hosts = std::move(m_state.entry_hosts).set(admitted, {});
    }

    /// Applies an event and returns the hosts that are granted a lease.
    std::vector<host_name> granted_after(const supervision_event& event)
    {
        supervision_transition next =
            reduce(std::move(m_state), event, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        std::vector<host_name> granted;
        for (const supervision_effect& effect : next.effects) {
            const auto* sent = std::get_if<send_to_entry_host>(&effect);
            if (sent != nullptr && std::holds_alternative<protocol::lease_grant>(sent->content)) {
                granted.push_back(sent->recipient);
            }
        }
        return granted;
    }

    /// Returns the hosts that are granted a lease by the event.
    std::vector<host_name> request(const directory::entry_process_id& requester)
    {
        protocol::lease_request content;
        content.entry = requester;
        return granted_after(message_received{requester.name, content});
    }

    void confirm_round() { m_consensus.confirmed_heartbeat_round = ++m_consensus.heartbeat_round; }

    time_point m_now{milliseconds{10'000}};
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
};

TEST_F(lease_request_fixture, requests_that_wait_are_not_copied_at_each_event)
{
    for (int at = 0; at < hosts; ++at) {
        request(entry(at));
    }
    const pending_lease_request* first = &m_state.pending_lease_requests.front();
    const pending_lease_request* last = &m_state.pending_lease_requests.back();
    for (int at = 0; at < 10; ++at) {
        granted_after(log_advanced{});
    }
    EXPECT_EQ(&m_state.pending_lease_requests.front(), first);
    EXPECT_EQ(&m_state.pending_lease_requests.back(), last);
}

TEST_F(lease_request_fixture, confirmed_round_grants_all_requests_that_arrived_before_it)
{
    for (int at = 0; at < hosts; ++at) {
        request(entry(at));
    }
    confirm_round();
    EXPECT_EQ(request(entry(0)).size(), hosts - 1U);
    EXPECT_EQ(m_state.pending_lease_requests.size(), 1U);
    confirm_round();
    EXPECT_EQ(granted_after(log_advanced{}), (std::vector<host_name>{entry(0).name}));
}

TEST_F(lease_request_fixture, request_that_can_not_be_granted_holds_up_no_other)
{
    request(entry(hosts));
    request(entry(1));
    request(entry(2));
    confirm_round();
    EXPECT_EQ(granted_after(log_advanced{}), (std::vector<host_name>{entry(1).name, entry(2).name}));
    admit(entry(hosts));
    EXPECT_EQ(granted_after(log_advanced{}), (std::vector<host_name>{entry(hosts).name}));
}

TEST_F(lease_request_fixture, request_without_a_confirmed_round_is_dropped_after_a_second)
{
    request(entry(1));
    m_now += milliseconds{1000};
    granted_after(log_advanced{});
    EXPECT_TRUE(m_state.pending_lease_requests.empty());
    confirm_round();
    EXPECT_TRUE(granted_after(log_advanced{}).empty());
}

TEST_F(lease_request_fixture, newer_request_of_a_host_replaces_its_waiting_one)
{
    request(entry(1));
    request(entry(2));
    request(entry(1));
    ASSERT_EQ(m_state.pending_lease_requests.size(), 2U);
    EXPECT_EQ(m_state.pending_lease_requests.back().request.entry, entry(1));
}

/// Entry hosts with a lease and the current view. Each change of the view is sent to all of them; a test lets
/// a host lose what was sent by reporting an older revision.
class view_transit_fixture : public lease_request_fixture
{
protected:
    static constexpr protocol::view_revision first_revision = 5;

    view_transit_fixture()
    {
        m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, {});
        m_state.revision = first_revision;
        request_at(first_revision);
    }

    /// The view changes: the group's term is closed or opened.
    void change_view()
    {
        command_applied applied;
        applied.index = m_state.revision + 1;
        applied.command = directory::open_term{group_name{"orders"}, 1, backend_server_name{"first"}, 0};
        apply(applied);
    }

    /// Sends a request of the host, which has applied `revision` and received all grants, and confirms it.
    /// Returns what control sends to the host.
    std::vector<protocol::message> request_at(protocol::view_revision revision)
    {
        protocol::lease_request content;
        content.entry = entry(0);
        content.sequence = ++m_sequence;
        content.granted_sequence = m_granted;
        content.applied_revision = revision;
        apply(message_received{content.entry.name, content});
        confirm_round();
        std::vector<protocol::message> sent = apply(log_advanced{});
        for (const protocol::message& each : sent) {
            const auto* grant = std::get_if<protocol::lease_grant>(&each);
            m_granted = grant == nullptr ? m_granted : grant->sequence;
        }
        return sent;
    }

    std::vector<protocol::message> apply(const supervision_event& event)
    {
        supervision_transition next =
            reduce(std::move(m_state), event, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        std::vector<protocol::message> sent;
        for (const supervision_effect& effect : next.effects) {
            const auto* each = std::get_if<send_to_entry_host>(&effect);
            if (each != nullptr && each->recipient == entry(0).name) {
                sent.push_back(each->content);
            }
        }
        return sent;
    }

    template <class Message>
    static int count_of(const std::vector<protocol::message>& sent)
    {
        return static_cast<int>(std::count_if(sent.begin(), sent.end(), [](const protocol::message& each) {
            return std::holds_alternative<Message>(each);
        }));
    }

    std::uint64_t m_sequence = 0;
    std::uint64_t m_granted = 0;
};

TEST_F(view_transit_fixture, grant_requires_the_revision_of_its_moment)
{
    change_view();
    const std::vector<protocol::message> sent = request_at(first_revision);
    ASSERT_EQ(count_of<protocol::lease_grant>(sent), 1);
    EXPECT_EQ(std::get<protocol::lease_grant>(sent.back()).required_revision, first_revision + 1);
}

TEST_F(view_transit_fixture, update_in_transit_is_not_sent_again)
{
    change_view();
    EXPECT_EQ(count_of<protocol::view_update>(request_at(first_revision)), 0);
    EXPECT_EQ(count_of<protocol::view_update>(request_at(first_revision + 1)), 0);
}

TEST_F(view_transit_fixture, lost_update_is_replaced_by_the_complete_view_after_the_next_grant)
{
    change_view();
    request_at(first_revision);
    EXPECT_EQ(count_of<protocol::view_update>(request_at(first_revision)), 1);
}

TEST_F(view_transit_fixture, lost_update_is_replaced_even_if_the_view_changes_between_all_requests)
{
    change_view();
    request_at(first_revision);
    change_view();
    EXPECT_EQ(count_of<protocol::view_update>(request_at(first_revision)), 1);
}

TEST_F(view_transit_fixture, updates_that_arrive_are_not_sent_again_while_further_ones_are_in_transit)
{
    change_view();
    request_at(first_revision);
    for (protocol::view_revision arrived = first_revision + 1; arrived < first_revision + 10; ++arrived) {
        change_view();
        EXPECT_EQ(count_of<protocol::view_update>(request_at(arrived)), 0);
    }
}

TEST_F(view_transit_fixture, updates_without_a_request_are_recorded_up_to_a_limit_and_then_count_as_lost)
{
    for (std::size_t at = 0; at < 2 * max_views_in_transit; ++at) {
        change_view();
        EXPECT_LE(m_state.entry_hosts.find(entry(0))->sent_views.size(), max_views_in_transit);
    }
    EXPECT_EQ(count_of<protocol::view_update>(request_at(first_revision)), 1);
}

/// Entry hosts that stop one after the other, as in a rolling restart. Each change of the relay plan goes to
/// every host.
class relay_plan_interval_fixture : public lease_request_fixture
{
protected:
    relay_plan_interval_fixture()
    {
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration.content.groups[group_name{"orders"}].connections = 102;
        m_directory.configuration = shared_value(std::move(configuration));
        for (int at = 0; at < hosts; ++at) {
            entry_status status;
            status.zone = availability_zone{"a"};
            status.relay_address = protocol::endpoint{"10.0.0.1", 7441};
            status.lease_end = m_now + milliseconds{60'000};
            status.last_request_at = m_now + milliseconds{1};
            m_state.entry_hosts = std::move(m_state.entry_hosts).set(entry(at), status);
        }
    }

    void stop(const host_name& name)
    {
        protocol::lease_request content;
        content.entry = {name, incarnation_id{"a"}};
        content.is_stopping = true;
        granted_after(message_received{name, content});
    }

    [[nodiscard]] host_name first_holder() const
    {
        return m_state.connection_holders.at(group_name{"orders"}).front().name;
    }
};

TEST_F(relay_plan_interval_fixture, plan_changes_once_an_interval_and_then_leaves_out_all_stopping_hosts)
{
    granted_after(timer_expired{});
    const host_name first = first_holder();
    const std::uint64_t digest = m_state.holders_digest;
    stop(first);
    m_now += relay_plan_interval - milliseconds{1};
    granted_after(timer_expired{});
    EXPECT_EQ(m_state.holders_digest, digest);
    m_now += milliseconds{1};
    granted_after(timer_expired{});
    EXPECT_NE(m_state.holders_digest, digest);
    EXPECT_NE(first_holder(), first);
}

} // namespace hickorymount::supervision
