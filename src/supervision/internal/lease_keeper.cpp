#include "supervision/internal/lease_keeper.h"

#include "consensus/reduce.h"
#include "supervision/internal/relay_planner.h"

#include <algorithm>
#include <iterator>

namespace hickorymount::supervision::detail {

namespace {

/// A request that waits longer than this has been sent again.
constexpr milliseconds pending_grant_timeout{1000};

} // namespace

lease_keeper::lease_keeper(supervision_step& step) : m_step(step), m_shares(step) {}

void lease_keeper::start_leading()
{
    // An earlier leader may have granted a lease up to the moment of this election.
    for (const auto& [entry, record] : m_step.directory().entry_hosts) {
        entry_status status;
        status.zone = record.zone;
        status.relay = record.relay ? protocol::parse_endpoint(*record.relay) : std::nullopt;
        status.lease_end = m_step.around.consensus.leading_since + lease_duration;
        m_step.state.entries = std::move(m_step.state.entries).set(entry, status);
        m_step.state.unheard.insert(entry);
    }
    plan_relays();
}

void lease_keeper::handle(const host_name& from, const protocol::lease_request& request)
{
    if (request.entry.name != from) {
        return;
    }
    const entry_key& entry = request.entry;
    if (!m_step.directory().entry_hosts.contains(entry) && m_step.state.admitting.insert(entry).second) {
        const auto relay = request.relay ? std::optional(to_string(*request.relay)) : std::nullopt;
        m_step.propose(directory::admit_entry_host{entry, request.zone, relay});
    }
    if (const entry_status* known = m_step.state.entries.find(entry)) {
        entry_status status = *known;
        status.last_heard = m_step.now();
        status.version = request.version;
        status.revision = request.revision;
        status.is_stopping = request.is_stopping;
        status.is_replaced = false;
        const bool is_first_word = known->last_heard <= m_step.state.leading_since;
        m_step.state.unheard.erase(entry);
        m_shares.note_request(request);
        m_step.state.entries = std::move(m_step.state.entries).set(entry, std::move(status));
        if (is_first_word) {
            note_replaced(entry);
        }
        if (request.is_stopping) {
            plan_relays();
        }
    }
    auto& grants = m_step.state.grants;
    grants.erase(std::remove_if(grants.begin(), grants.end(),
                                [&](const pending_grant& each) { return each.request.entry == entry; }),
                 grants.end());
    grants.push_back({request, m_step.around.consensus.round, m_step.now()});
}

/// The host's other processes have ended, and their connections with them. Their leases are still waited for:
/// what they acknowledged last is not known.
void lease_keeper::note_replaced(const entry_key& newest)
{
    const shared_map<entry_key, entry_status> entries = m_step.state.entries;
    for (const auto& [entry, status] : entries) {
        if (entry.name == newest.name && entry != newest && !status.is_replaced) {
            entry_status replaced = status;
            replaced.is_replaced = true;
            m_step.state.entries = std::move(m_step.state.entries).set(entry, std::move(replaced));
        }
    }
}

void lease_keeper::handle(const protocol::lease_return& returned)
{
    if (m_step.directory().entry_hosts.contains(returned.entry) &&
        m_step.state.dismissing.insert(returned.entry).second) {
        m_step.propose(directory::dismiss_entry_host{returned.entry});
    }
}

void lease_keeper::handle(const directory::admit_entry_host& admitted)
{
    m_step.state.admitting.erase(admitted.entry);
    if (!m_step.state.entries.contains(admitted.entry)) {
        entry_status status;
        status.zone = admitted.zone;
        status.relay = admitted.relay ? protocol::parse_endpoint(*admitted.relay) : std::nullopt;
        m_step.state.entries = std::move(m_step.state.entries).set(admitted.entry, status);
        note_replaced(admitted.entry);
    }
    m_step.log(logging::log_level::information, "admit_entry_host", admitted.entry.name.value,
               "incarnation=" + admitted.entry.incarnation.value);
}

void lease_keeper::handle(const directory::dismiss_entry_host& dismissed)
{
    m_step.state.dismissing.erase(dismissed.entry);
    m_step.state.entries = std::move(m_step.state.entries).erase(dismissed.entry);
    m_step.state.unheard.erase(dismissed.entry);
    m_shares.forget(dismissed.entry);
    m_step.log(logging::log_level::information, "dismiss_entry_host", dismissed.entry.name.value,
               "incarnation=" + dismissed.entry.incarnation.value);
}

void lease_keeper::issue_due_grants()
{
    std::vector<pending_grant> waiting;
    for (const pending_grant& pending : m_step.state.grants) {
        const entry_key& entry = pending.request.entry;
        const bool is_admitted =
            m_step.state.entries.contains(entry) && m_step.directory().entry_hosts.contains(entry);
        const bool is_confirmed = consensus::is_confirmed_since(m_step.around.consensus, pending.after_round);
        if (is_admitted && is_confirmed && !is_held_back(entry)) {
            issue(pending);
        } else if (m_step.now() - pending.received_at < pending_grant_timeout) {
            waiting.push_back(pending);
        }
    }
    m_step.state.grants = std::move(waiting);
}

void lease_keeper::dismiss_expired()
{
    for (const auto& [entry, status] : m_step.state.entries) {
        const bool is_gone = m_step.now() - status.lease_end > dismiss_after &&
                             m_step.now() - status.last_heard > dismiss_after;
        if (is_gone && m_step.now() - m_step.state.leading_since > lease_duration + dismiss_after &&
            m_step.state.dismissing.insert(entry).second) {
            m_step.propose(directory::dismiss_entry_host{entry});
        }
    }
}

std::set<entry_key> lease_keeper::leased() const
{
    std::set<entry_key> keys;
    for (const auto& [entry, status] : m_step.state.entries) {
        if (status.lease_end > m_step.now()) {
            keys.insert(entry);
        }
    }
    return keys;
}

std::vector<host_name> lease_keeper::live_hosts() const
{
    std::vector<std::pair<time_point, host_name>> heard;
    for (const auto& [entry, status] : m_step.state.entries) {
        if (status.lease_end > m_step.now() && status.last_heard > m_step.state.leading_since) {
            heard.emplace_back(status.last_heard, entry.name);
        }
    }
    std::sort(heard.begin(), heard.end(), std::greater<>());
    std::vector<host_name> names;
    for (auto& [at, name] : heard) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(std::move(name));
        }
    }
    return names;
}

void lease_keeper::issue(const pending_grant& pending)
{
    const entry_key& entry = pending.request.entry;
    entry_status status = *m_step.state.entries.find(entry);
    const bool is_behind = pending.request.revision < m_step.state.revision;
    if (is_behind && !is_update_under_way(status, pending.request.revision)) {
        status.view_sent_at = m_step.now();
        send_view(entry.name);
    } else if (pending.request.servers_digest != servers_digest()) {
        send_servers(entry.name);
    }
    protocol::lease_grant grant{
        entry,       pending.request.sequence, lease_duration, m_shares.shares_for(pending.request), {},
        std::nullopt};
    for (const consensus::member& voter : m_step.around.consensus.members.voters) {
        grant.control_hosts.push_back(voter.name);
    }
    if (pending.request.relays_digest != m_step.state.holders_digest) {
        grant.relays = plan_for(entry.name, status.zone, m_step.state.holders);
    }
    m_shares.note_granted(pending.request, grant.connections);
    status.lease_end = std::max(status.lease_end, pending.received_at + lease_duration);
    status.last_heard = std::max(status.last_heard, pending.received_at);
    status.version = pending.request.version;
    status.revision = pending.request.revision;
    m_step.state.entries = std::move(m_step.state.entries).set(entry, std::move(status));
    m_step.send(entry.name, std::move(grant));
}

/// True for a host that lacks nothing but what it has been sent a moment ago.
bool lease_keeper::is_update_under_way(const entry_status& to, protocol::view_revision known) const
{
    if (to.view_sent_at && m_step.now() - *to.view_sent_at < view_delivery_time) {
        return true;
    }
    return known != 0 && known >= m_step.state.revision_before &&
           m_step.now() - m_step.state.published_at < view_delivery_time;
}

void lease_keeper::send_view(const host_name& to)
{
    protocol::view_update view{0, m_step.state.revision, m_step.directory().configuration, {}};
    for (const auto& [name, record] : m_step.directory().groups) {
        view.groups.push_back({name, record});
    }
    m_step.send(to, std::move(view));
    send_servers(to);
}

void lease_keeper::send_servers(const host_name& to)
{
    protocol::server_reports known;
    for (const auto& [name, status] : m_step.state.servers) {
        known.reports.push_back(status.report);
    }
    // A new leader has not heard of all servers yet.
    known.is_whole_list = m_step.now() - m_step.state.leading_since >= server_forgotten;
    m_step.send(to, std::move(known));
}

std::uint64_t lease_keeper::servers_digest() const
{
    std::uint64_t digest = 0;
    for (const auto& [name, status] : m_step.state.servers) {
        digest += protocol::server_hash(status.report);
    }
    return digest;
}

bool lease_keeper::is_held_back(const entry_key& entry) const
{
    const auto& changes = m_step.state.changes;
    return std::any_of(changes.begin(), changes.end(), [&](const auto& each) {
        return each.second.stage == change_stage::revoking && each.second.awaiting.contains(entry);
    });
}

void lease_keeper::plan_relays()
{
    std::vector<protocol::relay_host> hosts;
    for (const auto& [entry, status] : m_step.state.entries) {
        if (status.relay && !status.is_stopping && !status.is_replaced && status.lease_end > m_step.now()) {
            hosts.push_back({entry.name, *status.relay, status.zone});
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    const configuration::configuration_version version = m_step.directory().configuration->version;
    if (hosts == m_step.state.relay_hosts && version == m_step.state.planned_for) {
        return;
    }
    m_step.state.relay_hosts = hosts;
    m_step.state.planned_for = version;
    std::map<group_name, std::vector<protocol::relay_host>> holders;
    for (const auto& [name, group] : m_step.directory().configuration->content.groups) {
        holders[name] = connection_holders(name, group.connections, hosts);
    }
    if (holders == m_step.state.holders) {
        return;
    }
    m_step.state.holders = std::move(holders);
    m_step.state.holders_digest = digest_of(m_step.state.holders);
    m_step.log(logging::log_level::information, "plan_relays", "",
               "hosts=" + std::to_string(hosts.size()) +
                   " groups=" + std::to_string(m_step.state.holders.size()) +
                   " digest=" + std::to_string(m_step.state.holders_digest));
}

std::vector<host_name> lease_keeper::hosts_before(const group_name& group) const
{
    std::vector<host_name> live = live_hosts();
    std::vector<host_name> holding;
    std::copy_if(live.begin(), live.end(), std::back_inserter(holding),
                 [&](const host_name& each) { return m_shares.holds_connections(group, each); });
    return holding.empty() ? live : holding;
}

} // namespace hickorymount::supervision::detail
