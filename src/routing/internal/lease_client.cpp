#include "routing/internal/lease_client.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::routing::detail {

namespace {

constexpr std::size_t max_remembered_renewals = 16;
constexpr std::size_t max_control_hosts = 16;
/// Minimum time between two hints that are followed, since followers may name one another as leader.
constexpr milliseconds hint_interval{100};

milliseconds retry_interval(const lease_state& lease)
{
    return std::min(lease_retry_interval * (1 + lease.unanswered / 2), max_lease_retry_interval);
}

} // namespace

lease_client::lease_client(event_context& context, connection_pools& connections)
    : m_context(context), m_connections(connections)
{
}

void lease_client::handle(const host_name& from, const protocol::lease_grant& grant)
{
    lease_state& lease = m_context.state.lease;
    if (grant.entry != m_context.state.self || m_context.state.is_drained) {
        return;
    }
    lease.granted_sequence = std::max(lease.granted_sequence, grant.sequence);
    const auto sent = lease.send_times.find(grant.sequence);
    if (sent == lease.send_times.end()) {
        return;
    }
    m_context.state.leader = from;
    const bool has_required_view = m_context.state.revision >= grant.required_revision;
    if (has_required_view) {
        const time_point valid_until = sent->second + grant.duration - lease_drift_margin;
        lease.valid_until = std::max(lease.valid_until, valid_until);
    }
    apply_quotas(from, grant, sent->second);
    lease.send_times.erase(lease.send_times.begin(), std::next(sent));
    lease.last_grant = m_context.now;
    lease.unanswered = 0;
    if (!lease.was_valid && m_context.has_lease()) {
        m_context.log(logging::log_level::information, "lease_granted", from.value,
                      fmt::format("sequence={} revision={}", grant.sequence, m_context.state.revision));
    }
    lease.was_valid = lease.was_valid || m_context.has_lease();
    add_control_hosts(grant.voting_control_hosts);
    prune_control_hosts(grant.voting_control_hosts);
    for (const auto& [server, share] : grant.connection_limits) {
        m_connections.set_share(server, share);
    }
    revoke_missing_shares(grant);
    if (grant.new_relay_plan) {
        const auto direct =
            std::count_if(grant.new_relay_plan->groups.begin(), grant.new_relay_plan->groups.end(),
                          [](const auto& each) { return each.second.is_direct; });
        m_context.log(logging::log_level::information, "follow_relays", from.value,
                      "groups=" + std::to_string(grant.new_relay_plan->groups.size()) +
                          " direct=" + std::to_string(direct) +
                          " hosts=" + std::to_string(grant.new_relay_plan->relays.size()));
        m_context.state.relay_plan = shared_value(*grant.new_relay_plan);
    }
    if (has_required_view) {
        lease.is_view_requested = false;
    } else {
        request_lost_view(from, grant);
    }
}

void lease_client::apply_quotas(const host_name& from, const protocol::lease_grant& grant, time_point sent_at)
{
    const limits::host_quotas& current = *m_context.state.quotas;
    if (grant.entry_hosts == 0 && current.operations.empty()) {
        return;
    }
    // A new leader that has received a later request does not know of this grant.
    const lease_state& lease = m_context.state.lease;
    const bool is_latest_request = grant.sequence + 1 == lease.next_sequence;
    const bool is_same_leader = lease.recipient == from && grant.sequence >= lease.recipient_since;
    m_context.state.quotas = shared_value(
        limits::with_grant(current, {grant.sequence, {}, grant.entry_hosts, grant.customer_quotas}, sent_at,
                           is_latest_request || is_same_leader));
}

/// The next request names this grant as received, so control knows that the view is lost and sends it again.
/// If that view does not arrive either, it is requested at the usual interval.
void lease_client::request_lost_view(const host_name& from, const protocol::lease_grant& grant)
{
    ++m_context.state.lease.grants_without_view;
    m_context.log(logging::log_level::warning, "lease_not_counted", from.value,
                  fmt::format("sequence={} required_revision={} revision={}", grant.sequence,
                              grant.required_revision, m_context.state.revision));
    if (!std::exchange(m_context.state.lease.is_view_requested, true)) {
        renew();
    }
}

/// A grant lists all servers to which this host may open connections; the shares of other servers end.
void lease_client::revoke_missing_shares(const protocol::lease_grant& grant)
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_ended = server.report.interface == protocol::server_interface::sessions &&
                              server.connections.share > 0 && !grant.connection_limits.contains(name);
        if (is_ended) {
            m_connections.set_share(name, 0);
        }
    }
}

void lease_client::handle(const host_name& from, const protocol::not_leader& answer)
{
    const bool is_accepted_source = !m_context.state.leader || *m_context.state.leader == from;
    const bool is_due = m_context.now - m_context.state.lease.leader_hint_at >= hint_interval;
    if (!answer.leader || *answer.leader == from || !is_accepted_source || !is_due) {
        return;
    }
    m_context.state.leader = answer.leader;
    add_control_hosts({*answer.leader});
    m_context.state.lease.leader_hint_at = m_context.now;
    renew();
}

void lease_client::on_connected(const host_name& host)
{
    if (!m_context.state.leader || *m_context.state.leader == host) {
        renew();
    }
}

void lease_client::add_control_hosts(const std::vector<host_name>& hosts)
{
    auto& current = m_context.state.control_hosts;
    for (const host_name& host : hosts) {
        if (std::find(current.begin(), current.end(), host) == current.end()) {
            current.push_back(host);
        }
    }
}

void lease_client::on_time_passed()
{
    lease_state& lease = m_context.state.lease;
    if (lease.was_valid && !m_context.has_lease()) {
        lease.was_valid = false;
        m_context.log(logging::log_level::warning, "lease_lost",
                      m_context.state.leader.value_or(host_name{}).value,
                      fmt::format("revision={}", m_context.state.revision));
        m_connections.close_all();
    }
    if (m_context.now >= lease.renew_at) {
        renew();
    }
    if (!m_context.state.unsent_reports.empty() && m_context.now >= m_context.state.send_reports_at) {
        send_reports();
    }
}

/// Keeps at most `max_control_hosts` hosts where possible, by removing hosts that are not voters.
void lease_client::prune_control_hosts(const std::vector<host_name>& voters)
{
    auto& current = m_context.state.control_hosts;
    for (auto each = current.begin(); each != current.end() && current.size() > max_control_hosts;) {
        const bool votes = std::find(voters.begin(), voters.end(), *each) != voters.end();
        each = votes ? std::next(each) : current.erase(each);
    }
}

void lease_client::renew()
{
    lease_state& lease = m_context.state.lease;
    if (m_context.state.is_drained) {
        lease.renew_at = time_point::max();
        return;
    }
    if (m_context.now - std::max(lease.last_grant, lease.leader_hint_at) > leader_timeout) {
        m_context.state.leader.reset();
    }
    protocol::lease_request request;
    request.entry = m_context.state.self;
    request.zone = m_context.state.zone;
    request.sequence = lease.next_sequence++;
    request.applied_revision = m_context.state.revision;
    request.applied_version = m_context.state.configuration->version;
    request.held_connections = m_connections.held();
    request.wanted_connections = m_connections.wanted();
    for (const auto& [name, server] : m_context.state.servers) {
        request.servers_digest += protocol::session_server_hash(server.report);
    }
    request.relay_address = m_context.state.relay_address;
    request.relay_plan_digest = m_context.state.relay_plan->digest;
    request.is_stopping = m_context.state.is_shutting_down;
    request.granted_sequence = lease.granted_sequence;
    request.region = m_context.state.region;
    request.customer_demands =
        limits::with_held(m_context.state.customer_demands, *m_context.state.quotas, m_context.now);
    m_connections.reset_peaks();
    if (lease.recipient != m_context.state.leader) {
        lease.recipient = m_context.state.leader;
        lease.recipient_since = request.sequence;
    }
    lease.last_request_at = m_context.now;
    lease.send_times[request.sequence] = m_context.now;
    if (lease.send_times.size() > max_remembered_renewals) {
        lease.send_times.erase(lease.send_times.begin());
    }
    lease.renew_at = m_context.now + (m_context.has_lease() ? lease_renewal_interval : retry_interval(lease));
    ++lease.unanswered;
    m_context.send_to_leader(request);
}

void lease_client::renew_for_quota()
{
    lease_state& lease = m_context.state.lease;
    lease.renew_at = lease.quota_renewals.advance(lease.renew_at, m_context.now, lease.last_request_at);
    if (m_context.now >= lease.renew_at) {
        renew();
    }
}

void lease_client::schedule_early_renewal()
{
    const std::string& name = m_context.state.self.name.value;
    const auto part = XXH3_64bits(name.data(), name.size()) % confirmation_jitter.count();
    m_context.state.lease.renew_at = std::min(m_context.state.lease.renew_at,
                                              m_context.now + milliseconds{static_cast<std::int64_t>(part)});
}

void lease_client::release()
{
    m_context.state.lease.valid_until = {};
    m_context.state.lease.was_valid = false;
    m_context.state.lease.renew_at = time_point::max();
    m_context.state.quotas = {};
    m_connections.close_all();
    // Otherwise the traffic thread may still use the lease; it runs out at control.
    if (m_context.state.are_commits_final) {
        m_context.send_to_leader(
            protocol::lease_release{m_context.state.self, m_context.state.session_commits});
    }
}

void lease_client::queue_report(const protocol::server_report& report)
{
    if (m_context.state.unsent_reports.empty()) {
        m_context.state.send_reports_at = m_context.now + report_batch_interval;
    }
    m_context.state.unsent_reports.insert_or_assign(report.name, report);
}

void lease_client::send_reports()
{
    protocol::server_reports batch;
    for (auto& [name, report] : m_context.state.unsent_reports) {
        batch.reports.push_back(report);
    }
    m_context.state.unsent_reports.clear();
    m_context.send_to_leader(batch);
}

} // namespace hickorymount::routing::detail
