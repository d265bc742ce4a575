#include "routing/read_policy.h"
#include "routing/reduce.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::routing {

/// An entry host with one group at term 3, whose backend server uses the session protocol.
class session_groups_fixture : public ::testing::Test
{
protected:
    session_groups_fixture()
    {
        feed(entry_started{{host_name{"entry-1"}, incarnation_id{"i"}},
                           availability_zone{"casa-a"},
                           {host_name{"control-1"}}});
        protocol::server_report report;
        report.name = backend_server_name{"first"};
        report.group = group_name{"orders"};
        report.interface = protocol::server_interface::sessions;
        report.role = protocol::server_role::primary;
        directory::group_record record;
        record.phase = directory::group_phase::open;
        record.term = 3;
        record.primary = report.name;
        from_control(protocol::view_update{0, 5, {{group_name{"orders"}, record}}});
        from_control(protocol::server_reports{{report}, false});
        m_sent.clear();
    }

    void feed(entry_event_payload event)
    {
        entry_transition next =
            reduce(std::move(m_state), {m_now, unix_milliseconds{0}, std::move(event)}, m_policy);
        m_state = std::move(next.state);
        for (entry_effect& effect : next.effects) {
            if (auto* sent = std::get_if<send_to_control>(&effect)) {
                m_sent.push_back(std::move(sent->content));
            }
        }
    }

    void from_control(protocol::message content)
    {
        feed(control_message_received{host_name{"control-1"}, std::move(content)});
    }

    template <class Message>
    std::vector<Message> sent()
    {
        std::vector<Message> found;
        for (const protocol::message& each : m_sent) {
            if (const auto* wanted = std::get_if<Message>(&each)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    time_point m_now{milliseconds{10'000}};
    prefer_replica_policy m_policy;
    entry_state m_state;
    std::vector<protocol::message> m_sent;
};

TEST_F(session_groups_fixture, closed_term_is_confirmed_only_after_traffic_thread_has_seen_it)
{
    traffic_reported report_event;
    report_event.acknowledged_commits[group_name{"orders"}] = {3, 40};
    feed(report_event);
    from_control(protocol::close_term_request{group_name{"orders"}, 3, false});
    EXPECT_TRUE(sent<protocol::close_term_response>().empty());
    report_event.acknowledged_commits[group_name{"orders"}] = {3, 44};
    report_event.closed_terms[group_name{"orders"}] = 3;
    feed(report_event);
    const auto confirmed = sent<protocol::close_term_response>();
    ASSERT_EQ(confirmed.size(), 1U);
    EXPECT_EQ(confirmed[0].term, 3U);
    EXPECT_EQ(confirmed[0].acknowledged_position, (session_token::group_position{3, 44}));
}

TEST_F(session_groups_fixture,
       closed_term_of_a_group_without_known_servers_is_confirmed_by_traffic_thread_too)
{
    feed(traffic_reported{});
    from_control(protocol::server_reports{{}, true});
    ASSERT_EQ(m_state.servers.find(backend_server_name{"first"}), nullptr);
    from_control(protocol::close_term_request{group_name{"orders"}, 3, false});
    EXPECT_TRUE(sent<protocol::close_term_response>().empty());
    traffic_reported report_event;
    report_event.closed_terms[group_name{"orders"}] = 3;
    feed(report_event);
    EXPECT_EQ(sent<protocol::close_term_response>().size(), 1U);
}

TEST_F(session_groups_fixture, hold_is_confirmed_only_after_traffic_thread_is_idle)
{
    from_control(protocol::close_term_request{group_name{"orders"}, 3, true});
    feed(timer_expired{});
    EXPECT_TRUE(sent<protocol::close_term_response>().empty());
    traffic_reported report_event;
    report_event.holds[group_name{"orders"}] = {3, 1};
    feed(report_event);
    EXPECT_TRUE(sent<protocol::close_term_response>().empty());
    report_event.holds[group_name{"orders"}] = {3, 0};
    feed(report_event);
    ASSERT_EQ(sent<protocol::close_term_response>().size(), 1U);
}

TEST_F(session_groups_fixture, server_reported_as_gone_is_left_out_of_the_digest)
{
    const auto digest = [this] {
        m_sent.clear();
        m_now += lease_renewal_interval;
        feed(timer_expired{});
        return sent<protocol::lease_request>().at(0).servers_digest;
    };
    EXPECT_NE(digest(), 0U);
    protocol::server_report departure = m_state.servers.find(backend_server_name{"first"})->report;
    departure.has_left = true;
    from_control(protocol::server_reports{{departure}, false});
    EXPECT_EQ(digest(), 0U);
}

/// The settings of a new process may not list the current leader among the control hosts.
TEST_F(session_groups_fixture, unlisted_leader_named_by_control_host_gets_the_lease_request)
{
    from_control(protocol::not_leader{host_name{"10.0.0.9:7440"}});
    const auto& known = m_state.control_hosts;
    EXPECT_NE(std::find(known.begin(), known.end(), host_name{"10.0.0.9:7440"}), known.end());
    EXPECT_EQ(m_state.leader, host_name{"10.0.0.9:7440"});
    EXPECT_FALSE(sent<protocol::lease_request>().empty());
}

TEST_F(session_groups_fixture, share_missing_from_grant_is_revoked)
{
    feed(timer_expired{});
    const auto grant = [this](std::map<backend_server_name, std::uint32_t> shares) {
        m_sent.clear();
        m_now += lease_renewal_interval;
        feed(timer_expired{});
        protocol::lease_grant granted;
        granted.entry = m_state.self;
        granted.sequence = sent<protocol::lease_request>().at(0).sequence;
        granted.duration = milliseconds{2000};
        granted.connection_limits = std::move(shares);
        from_control(granted);
        return m_state.servers.find(backend_server_name{"first"})->connections.share;
    };
    EXPECT_EQ(grant({{backend_server_name{"first"}, 3}}), 3U);
    EXPECT_EQ(grant({}), 0U);
}

TEST_F(session_groups_fixture, lease_requests_without_answer_are_sent_less_often)
{
    milliseconds last{0};
    for (int at = 0; at < 12; ++at) {
        m_now = m_state.lease.renew_at;
        feed(timer_expired{});
        const milliseconds pause = m_state.lease.renew_at - m_now;
        EXPECT_GE(pause, last);
        last = pause;
    }
    EXPECT_EQ(last, max_lease_retry_interval);
}

TEST_F(session_groups_fixture, stopping_host_reports_it_at_once)
{
    feed(shutdown_started{});
    const auto requests = sent<protocol::lease_request>();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_TRUE(requests[0].is_stopping);
}

/// The host has applied revision 5 of the view.
class required_view_fixture : public session_groups_fixture
{
protected:
    static protocol::view_update next_view()
    {
        directory::group_record record;
        record.phase = directory::group_phase::open;
        record.term = 4;
        record.primary = backend_server_name{"second"};
        return {0, 6, {{group_name{"orders"}, record}}};
    }

    /// Renews the lease and answers with a grant that requires the revision.
    void renew_with_required(protocol::view_revision required)
    {
        m_sent.clear();
        m_now = m_state.lease.renew_at;
        feed(timer_expired{});
        protocol::lease_grant granted;
        granted.entry = m_state.self;
        granted.sequence = sent<protocol::lease_request>().back().sequence;
        granted.duration = milliseconds{2000};
        granted.required_revision = required;
        m_sent.clear();
        from_control(granted);
    }

    [[nodiscard]] bool has_lease() const { return m_now < m_state.lease.valid_until; }
};

TEST_F(required_view_fixture, grant_that_requires_a_newer_view_does_not_count)
{
    renew_with_required(6);
    EXPECT_FALSE(has_lease());
    EXPECT_EQ(m_state.lease.grants_without_view, 1U);
    from_control(next_view());
    EXPECT_FALSE(has_lease());
    renew_with_required(6);
    EXPECT_TRUE(has_lease());
}

TEST_F(required_view_fixture, grant_does_not_prolong_a_valid_lease_beside_an_older_view)
{
    renew_with_required(5);
    ASSERT_TRUE(has_lease());
    const time_point valid_until = m_state.lease.valid_until;
    renew_with_required(6);
    EXPECT_EQ(m_state.lease.valid_until, valid_until);
}

TEST_F(required_view_fixture, lost_view_is_requested_at_once_with_the_grant_as_received)
{
    renew_with_required(6);
    const auto requests = sent<protocol::lease_request>();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].granted_sequence, requests[0].sequence - 1);
    EXPECT_EQ(requests[0].applied_revision, 5U);
}

TEST_F(required_view_fixture, second_grant_in_a_row_without_the_view_is_followed_by_the_usual_retry_only)
{
    renew_with_required(6);
    EXPECT_EQ(sent<protocol::lease_request>().size(), 1U);
    renew_with_required(6);
    EXPECT_TRUE(sent<protocol::lease_request>().empty());
    EXPECT_GT(m_state.lease.renew_at, m_now);
}

TEST_F(required_view_fixture, lease_that_ends_before_a_grant_without_the_view_is_noticed_as_lost)
{
    renew_with_required(5);
    m_now = m_state.lease.valid_until;
    protocol::lease_grant late;
    late.entry = m_state.self;
    late.sequence = m_state.lease.next_sequence - 1;
    m_state.lease.send_times[late.sequence] = m_now;
    late.required_revision = 6;
    from_control(late);
    EXPECT_TRUE(m_state.lease.was_valid);
    feed(timer_expired{});
    EXPECT_FALSE(m_state.lease.was_valid);
}

TEST_F(session_groups_fixture, closed_term_waits_for_a_traffic_thread_that_has_not_reported_yet)
{
    feed(entry_started{m_state.self, m_state.zone, m_state.control_hosts, std::nullopt, true});
    from_control(protocol::close_term_request{group_name{"orders"}, 3, false});
    EXPECT_TRUE(sent<protocol::close_term_response>().empty());
}

/// A host with a lease, and one unanswered renewal, that stops.
class returned_lease_fixture : public required_view_fixture
{
protected:
    returned_lease_fixture()
    {
        renew_with_required(5);
        m_now = m_state.lease.renew_at;
        feed(timer_expired{});
        m_late_grant.entry = m_state.self;
        m_late_grant.sequence = sent<protocol::lease_request>().back().sequence;
        m_late_grant.duration = milliseconds{2000};
        m_sent.clear();
    }

    protocol::lease_grant m_late_grant;
};

TEST_F(returned_lease_fixture, grant_after_the_release_does_not_count)
{
    feed(drain_requested{true});
    ASSERT_EQ(sent<protocol::lease_release>().size(), 1U);
    from_control(m_late_grant);
    EXPECT_FALSE(has_lease());
}

TEST_F(returned_lease_fixture, released_lease_is_not_requested_again)
{
    feed(drain_requested{true});
    m_now += milliseconds{10'000};
    feed(timer_expired{});
    feed(control_connected{host_name{"control-1"}});
    EXPECT_TRUE(sent<protocol::lease_request>().empty());
}

TEST_F(returned_lease_fixture, lease_with_commits_that_are_not_final_runs_out_instead_of_being_released)
{
    feed(drain_requested{false});
    EXPECT_TRUE(sent<protocol::lease_release>().empty());
    EXPECT_FALSE(has_lease());
    from_control(m_late_grant);
    EXPECT_FALSE(has_lease());
}

} // namespace hickorymount::routing
