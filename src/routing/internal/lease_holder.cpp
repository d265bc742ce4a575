#include "routing/internal/lease_holder.h"

#include <algorithm>

#include <xxhash.h>

namespace hickorymount::routing::detail {

namespace {

constexpr std::size_t max_remembered_renewals = 16;
constexpr std::size_t max_control_hosts = 16;
/// Hosts that are no leaders may name one another; a hint is followed this often at most.
constexpr milliseconds hint_interval{100};

milliseconds retry_interval(const lease_state& lease)
{
    return std::min(lease_retry_interval * (1 + lease.unanswered / 2), max_lease_retry_interval);
}

} // namespace

lease_holder::lease_holder(entry_step& step, connection_keeper& connections)
    : m_step(step), m_connections(connections)
{
}

void lease_holder::handle(const host_name& from, const protocol::lease_grant& grant)
{
    lease_state& lease = m_step.state.lease;
    const auto sent = lease.sent.find(grant.sequence);
    if (grant.entry != m_step.state.self || sent == lease.sent.end()) {
        return;
    }
    m_step.state.leader = from;
    const time_point valid_until = sent->second + grant.duration - lease_drift_margin;
    lease.valid_until = std::max(lease.valid_until, valid_until);
    lease.sent.erase(lease.sent.begin(), std::next(sent));
    lease.last_grant = m_step.now;
    lease.unanswered = 0;
    if (!lease.was_valid && m_step.has_lease()) {
        m_step.log(logging::log_level::information, "lease_granted", from.value, "");
    }
    lease.was_valid = m_step.has_lease();
    add_control_hosts(grant.control_hosts);
    forget_control_hosts(grant.control_hosts);
    for (const auto& [server, share] : grant.connections) {
        m_connections.set_share(server, share);
    }
    end_shares_not_granted(grant);
    if (grant.relays) {
        const auto direct = std::count_if(grant.relays->groups.begin(), grant.relays->groups.end(),
                                          [](const auto& each) { return each.second.is_direct; });
        m_step.log(logging::log_level::information, "follow_relays", from.value,
                   "groups=" + std::to_string(grant.relays->groups.size()) + " direct=" +
                       std::to_string(direct) + " hosts=" + std::to_string(grant.relays->hosts.size()));
        m_step.state.relays = shared_value(*grant.relays);
    }
}

/// A grant names the servers before which this host may open connections, and no others.
void lease_holder::end_shares_not_granted(const protocol::lease_grant& grant)
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_ended = server.report.speaks == protocol::server_interface::sessions &&
                              server.connections.share > 0 && !grant.connections.contains(name);
        if (is_ended) {
            m_connections.set_share(name, 0);
        }
    }
}

void lease_holder::handle(const host_name& from, const protocol::not_leader& answer)
{
    const bool is_believed = !m_step.state.leader || *m_step.state.leader == from;
    const bool is_due = m_step.now - m_step.state.lease.leader_hint_at >= hint_interval;
    if (!answer.leader || *answer.leader == from || !is_believed || !is_due) {
        return;
    }
    m_step.state.leader = answer.leader;
    add_control_hosts({*answer.leader});
    m_step.state.lease.leader_hint_at = m_step.now;
    renew();
}

void lease_holder::connected(const host_name& host)
{
    if (!m_step.state.leader || *m_step.state.leader == host) {
        renew();
    }
}

void lease_holder::add_control_hosts(const std::vector<host_name>& hosts)
{
    auto& known = m_step.state.control_hosts;
    for (const host_name& host : hosts) {
        if (std::find(known.begin(), known.end(), host) == known.end()) {
            known.push_back(host);
        }
    }
}

void lease_holder::pass_time()
{
    lease_state& lease = m_step.state.lease;
    if (lease.was_valid && !m_step.has_lease()) {
        lease.was_valid = false;
        m_step.log(logging::log_level::warning, "lease_lost", m_step.state.leader.value_or(host_name{}).value,
                   "");
        m_connections.end_all();
    }
    if (m_step.now >= lease.renew_at) {
        renew();
    }
    if (!m_step.state.unsent_reports.empty() && m_step.now >= m_step.state.send_reports_at) {
        send_reports();
    }
}

/// Keeps the list short: hosts that vote no more go first.
void lease_holder::forget_control_hosts(const std::vector<host_name>& voters)
{
    auto& known = m_step.state.control_hosts;
    for (auto each = known.begin(); each != known.end() && known.size() > max_control_hosts;) {
        const bool votes = std::find(voters.begin(), voters.end(), *each) != voters.end();
        each = votes ? std::next(each) : known.erase(each);
    }
}

void lease_holder::renew()
{
    lease_state& lease = m_step.state.lease;
    if (m_step.now - std::max(lease.last_grant, lease.leader_hint_at) > leader_timeout) {
        m_step.state.leader.reset();
    }
    protocol::lease_request request;
    request.entry = m_step.state.self;
    request.zone = m_step.state.zone;
    request.sequence = lease.next_sequence++;
    request.revision = m_step.state.revision;
    request.version = m_step.state.configuration->version;
    request.held_connections = m_connections.held();
    request.wanted_connections = m_connections.wanted();
    for (const auto& [name, server] : m_step.state.servers) {
        request.servers_digest += protocol::server_hash(server.report);
    }
    request.relay = m_step.state.relay;
    request.relays_digest = m_step.state.relays->digest;
    request.is_stopping = m_step.state.is_stopping;
    m_connections.reset_peaks();
    lease.sent[request.sequence] = m_step.now;
    if (lease.sent.size() > max_remembered_renewals) {
        lease.sent.erase(lease.sent.begin());
    }
    lease.renew_at = m_step.now + (m_step.has_lease() ? lease_renewal_interval : retry_interval(lease));
    ++lease.unanswered;
    m_step.send_to_leader(request);
}

void lease_holder::renew_soon()
{
    const std::string& name = m_step.state.self.name.value;
    const auto part = XXH3_64bits(name.data(), name.size()) % confirmation_jitter.count();
    m_step.state.lease.renew_at =
        std::min(m_step.state.lease.renew_at, m_step.now + milliseconds{static_cast<std::int64_t>(part)});
}

void lease_holder::give_back()
{
    m_step.state.lease.valid_until = {};
    m_step.state.lease.was_valid = false;
    m_connections.end_all();
    m_step.send_to_leader(protocol::lease_return{m_step.state.self});
}

void lease_holder::note_report(const protocol::server_report& report)
{
    if (m_step.state.unsent_reports.empty()) {
        m_step.state.send_reports_at = m_step.now + report_batch_interval;
    }
    m_step.state.unsent_reports.insert_or_assign(report.name, report);
}

void lease_holder::send_reports()
{
    protocol::server_reports batch;
    for (auto& [name, report] : m_step.state.unsent_reports) {
        batch.reports.push_back(report);
    }
    m_step.state.unsent_reports.clear();
    m_step.send_to_leader(batch);
}

} // namespace hickorymount::routing::detail
