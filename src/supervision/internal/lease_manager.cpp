#include "supervision/internal/lease_manager.h"

#include "consensus/reduce.h"
#include "supervision/internal/relay_planner.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace hickorymount::supervision::detail {

namespace {

/// An older request is dropped; the entry host has sent a newer one by then.
constexpr milliseconds pending_lease_request_timeout{1000};

bool is_in_transit(const std::optional<sent_document>& sent, std::uint64_t granted_sequence)
{
    return sent && granted_sequence <= sent->after_grant;
}

/// Forgets the documents that have arrived or are lost.
void remove_settled_documents(entry_status& status, std::uint64_t granted_sequence)
{
    for (auto* sent : {&status.sent_servers, &status.sent_relay_plan}) {
        if (!is_in_transit(*sent, granted_sequence)) {
            sent->reset();
        }
    }
}

/// Forgets the updates of the view that have arrived. If one is lost, forgets all, since the later ones can't
/// be applied.
void remove_settled_views(entry_status& status, const protocol::lease_request& request)
{
    const bool is_any_lost =
        std::any_of(status.sent_views.begin(), status.sent_views.end(), [&](const sent_document& sent) {
            return sent.version > request.applied_revision && !is_in_transit(sent, request.granted_sequence);
        });
    std::erase_if(status.sent_views, [&](const sent_document& sent) {
        return is_any_lost || sent.version <= request.applied_revision;
    });
}

} // namespace

lease_manager::lease_manager(supervision_context& context) : m_context(context), m_connections(context) {}

void lease_manager::start_leading()
{
    std::vector<entry_process_id> admitted;
    // An earlier leader may have granted leases until the time of this election.
    for (const auto& [entry, record] : m_context.directory().entry_hosts) {
        entry_status status;
        status.zone = record.zone;
        status.relay_address =
            record.relay_address ? protocol::parse_endpoint(*record.relay_address) : std::nullopt;
        status.lease_end = m_context.inputs.consensus.leading_since + lease_duration;
        m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).set(entry, status);
        m_context.state.unheard_entries.insert(entry);
        admitted.push_back(entry);
    }
    m_context.state.quotas.start_leading(admitted, limit_window(), m_context.now());
    update_relay_plan();
}

void lease_manager::handle(const host_name& from, const protocol::lease_request& request)
{
    if (request.entry.name != from) {
        return;
    }
    const entry_process_id& entry = request.entry;
    if (!m_context.directory().entry_hosts.contains(entry) &&
        m_context.state.proposed_admissions.insert(entry).second) {
        const auto relay =
            request.relay_address ? std::optional(to_string(*request.relay_address)) : std::nullopt;
        m_context.propose(directory::admit_entry_host{entry, request.zone, relay});
    }
    if (const entry_status* known = m_context.state.entry_hosts.find(entry)) {
        entry_status status = *known;
        status.last_request_at = m_context.now();
        record_applied(status, request);
        status.is_stopping = request.is_stopping;
        status.is_replaced = false;
        if (request.region) {
            m_context.state.regions[request.zone] = *request.region;
        }
        const bool is_first_request = known->last_request_at <= m_context.state.leading_since;
        m_context.state.unheard_entries.erase(entry);
        m_connections.record_request(request);
        m_context.state.quotas.record_request(entry, request.customer_demands, request.granted_sequence,
                                              limit_window(), m_context.now());
        m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).set(entry, std::move(status));
        if (is_first_request) {
            mark_replaced_entries(entry);
        }
        if (request.is_stopping) {
            update_relay_plan();
        }
    }
    auto& requests = m_context.state.pending_lease_requests;
    const auto earlier =
        std::find_if(requests.begin(), requests.end(),
                     [&](const pending_lease_request& pending) { return pending.request.entry == entry; });
    if (earlier != requests.end()) {
        requests.erase(earlier);
    }
    requests.push_back({request, m_context.inputs.consensus.heartbeat_round, m_context.now()});
}

void lease_manager::record_applied(entry_status& status, const protocol::lease_request& request)
{
    status.version = request.applied_version;
    status.revision = request.applied_revision;
    status.last_grant_sequence = std::max(status.last_grant_sequence, request.granted_sequence);
    remove_settled_documents(status, request.granted_sequence);
    remove_settled_views(status, request);
    const std::optional<sent_document>& sent = status.sent_configuration;
    if (!sent) {
        return;
    }
    const bool is_applied = request.applied_version >= sent->version;
    if (is_applied) {
        // The wait takes as long as the transfer, so that updates leave half of the link to other messages.
        const milliseconds transfer_time = m_context.now() - sent->sent_at;
        status.next_configuration_at =
            std::max(m_context.now() + transfer_time, sent->sent_at + configuration_send_interval);
        status.sent_configuration.reset();
    } else if (!is_in_transit(sent, request.granted_sequence)) {
        m_context.log(logging::log_level::warning, "configuration_not_applied", request.entry.name.value,
                      "version=" + std::to_string(sent->version) +
                          " applied=" + std::to_string(request.applied_version));
        status.sent_configuration.reset();
    }
}

/// Older processes of the host have ended, and their connections are closed. Their leases still have to
/// expire, since the last position that they acknowledged is unknown.
void lease_manager::mark_replaced_entries(const entry_process_id& newest)
{
    const shared_map<entry_process_id, entry_status> entries = m_context.state.entry_hosts;
    for (const auto& [entry, status] : entries) {
        if (entry.name == newest.name && entry != newest && !status.is_replaced) {
            entry_status replaced = status;
            replaced.is_replaced = true;
            m_context.state.entry_hosts =
                std::move(m_context.state.entry_hosts).set(entry, std::move(replaced));
        }
    }
}

void lease_manager::handle(const protocol::lease_release& returned)
{
    m_context.state.quotas.end_process(returned.entry, limit_window(), m_context.now());
    if (m_context.directory().entry_hosts.contains(returned.entry) &&
        m_context.state.proposed_dismissals.insert(returned.entry).second) {
        m_context.propose(directory::dismiss_entry_host{returned.entry, returned.acknowledged});
    }
}

void lease_manager::handle(const directory::admit_entry_host& admitted)
{
    m_context.state.proposed_admissions.erase(admitted.entry);
    if (!m_context.state.entry_hosts.contains(admitted.entry)) {
        entry_status status;
        status.zone = admitted.zone;
        status.admitted_at = m_context.now();
        status.relay_address =
            admitted.relay_address ? protocol::parse_endpoint(*admitted.relay_address) : std::nullopt;
        m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).set(admitted.entry, status);
        mark_replaced_entries(admitted.entry);
        m_context.state.quotas.end_older_processes(admitted.entry, limit_window(), m_context.now());
    }
    m_context.log(logging::log_level::information, "admit_entry_host", admitted.entry.name.value,
                  "incarnation=" + admitted.entry.incarnation.value);
}

void lease_manager::handle(const directory::dismiss_entry_host& dismissed)
{
    m_context.state.proposed_dismissals.erase(dismissed.entry);
    m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).erase(dismissed.entry);
    m_context.state.unheard_entries.erase(dismissed.entry);
    m_connections.remove_entry(dismissed.entry);
    m_context.log(logging::log_level::information, "dismiss_entry_host", dismissed.entry.name.value,
                  "incarnation=" + dismissed.entry.incarnation.value);
}

bool lease_manager::answer_confirmed_requests()
{
    // The requests that no majority has confirmed yet are the last ones; they are not touched, because this
    // runs at each event and there may be one of every entry host.
    auto& requests = m_context.state.pending_lease_requests;
    bool has_granted = false;
    for (auto pending = requests.begin();
         pending != requests.end() &&
         consensus::is_leadership_confirmed_since(m_context.inputs.consensus, pending->after_round);) {
        const bool is_grantable = may_be_granted(pending->request.entry);
        if (is_grantable) {
            grant_lease(*pending);
            has_granted = true;
        }
        const bool is_settled =
            is_grantable || m_context.now() - pending->received_at >= pending_lease_request_timeout;
        pending = is_settled ? requests.erase(pending) : std::next(pending);
    }
    while (!requests.empty() &&
           m_context.now() - requests.front().received_at >= pending_lease_request_timeout) {
        requests.pop_front();
    }
    return has_granted;
}

bool lease_manager::may_be_granted(const entry_process_id& entry) const
{
    // Control forgets the lease of a dismissed process, so none is granted once the dismissal is proposed.
    return m_context.state.entry_hosts.contains(entry) && m_context.directory().entry_hosts.contains(entry) &&
           !m_context.state.proposed_dismissals.contains(entry) && !is_lease_withheld(entry);
}

void lease_manager::dismiss_expired_entries()
{
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        const time_point last_contact =
            std::max({status.admitted_at, status.lease_end, status.last_request_at});
        const bool is_gone = m_context.now() - last_contact > entry_host_dismissal_delay;
        if (is_gone &&
            m_context.now() - m_context.state.leading_since > lease_duration + entry_host_dismissal_delay &&
            m_context.state.proposed_dismissals.insert(entry).second) {
            m_context.propose(directory::dismiss_entry_host{entry});
        }
    }
}

std::set<entry_process_id> lease_manager::leased_entries() const
{
    std::set<entry_process_id> keys;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        if (status.lease_end > m_context.now()) {
            keys.insert(entry);
        }
    }
    return keys;
}

std::set<entry_process_id> lease_manager::expired_entries() const
{
    std::set<entry_process_id> expired;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        if (status.lease_end > time_point{} && status.lease_end <= m_context.now()) {
            expired.insert(entry);
        }
    }
    return expired;
}

std::vector<host_name> lease_manager::live_hosts() const
{
    std::vector<std::pair<time_point, host_name>> recently_heard;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        if (status.lease_end > m_context.now() && status.last_request_at > m_context.state.leading_since) {
            recently_heard.emplace_back(status.last_request_at, entry.name);
        }
    }
    std::sort(recently_heard.begin(), recently_heard.end(), std::greater<>());
    std::vector<host_name> names;
    for (auto& [at, name] : recently_heard) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(std::move(name));
        }
    }
    return names;
}

void lease_manager::grant_lease(const pending_lease_request& pending)
{
    const entry_process_id& entry = pending.request.entry;
    entry_status status = *m_context.state.entry_hosts.find(entry);
    record_applied(status, pending.request);
    const sent_document sent_now{m_context.state.revision, status.last_grant_sequence, m_context.now()};
    const bool is_behind = pending.request.applied_revision < m_context.state.revision;
    log_regained_lease(entry, status, pending.request);
    const bool lacks_servers = pending.request.servers_digest != servers_digest();
    if (is_behind && !is_view_in_transit(status)) {
        status.sent_views = {sent_now};
        status.sent_servers = sent_now;
        send_view(entry.name);
    } else if (lacks_servers && !status.sent_servers) {
        status.sent_servers = sent_now;
        send_servers(entry.name);
    }
    protocol::lease_grant grant{
        entry,       pending.request.sequence, lease_duration, m_connections.shares_for(pending.request), {},
        std::nullopt};
    for (const consensus::member& voter : m_context.inputs.consensus.members.voters) {
        grant.voting_control_hosts.push_back(voter.name);
    }
    grant.required_revision = m_context.state.revision;
    const std::uint64_t plan_digest = m_context.state.holders_digest;
    const bool is_plan_in_transit = status.sent_relay_plan && status.sent_relay_plan->version == plan_digest;
    if (pending.request.relay_plan_digest != plan_digest && !is_plan_in_transit) {
        grant.new_relay_plan = relay_plan_for(entry.name, status.zone, m_context.state.connection_holders,
                                              relay_choice_for_configuration());
        status.sent_relay_plan = sent_document{plan_digest, status.last_grant_sequence, m_context.now()};
    }
    status.last_grant_sequence = pending.request.sequence;
    m_connections.record_grant(pending.request, grant.connection_limits);
    grant_quotas(grant, pending.request);
    status.lease_end = std::max(status.lease_end, pending.received_at + lease_duration);
    status.last_request_at = std::max(status.last_request_at, pending.received_at);
    m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).set(entry, std::move(status));
    m_context.send(entry.name, std::move(grant));
}

/// With customers, a statement is relayed to the host that holds the customer's connections to a server of
/// the chosen region, which may be any.
relay_choice lease_manager::relay_choice_for_configuration() const
{
    return m_context.directory().configuration->content.identifies_customers ? relay_choice::all_holders
                                                                             : relay_choice::few_holders;
}

void lease_manager::grant_quotas(protocol::lease_grant& grant, const protocol::lease_request& request)
{
    const configuration::configuration& content = m_context.directory().configuration->content;
    if (!content.identifies_customers) {
        return;
    }
    std::set<host_name> hosts;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        hosts.insert(entry.name);
    }
    // A quarter more than are known, for hosts that were dismissed and continue without control.
    const auto known = static_cast<std::uint32_t>(hosts.size());
    std::uint32_t& most = m_context.state.most_entry_hosts;
    most = std::max({most, known, content.entry_host_count});
    grant.entry_hosts = most + (most + 3) / 4;
    for (const auto& [name, demand] : request.customer_demands) {
        const auto customer = content.customers.find(name);
        if (customer != content.customers.end() && customer->second.limit) {
            grant.customer_quotas[name] = m_context.state.quotas.grant(
                request.entry, name,
                {*customer->second.limit, m_context.inputs.limit_bounds, grant.entry_hosts}, request.sequence,
                m_context.now());
        }
    }
}

void lease_manager::log_regained_lease(const entry_process_id& entry, const entry_status& status,
                                       const protocol::lease_request& request)
{
    if (status.lease_end > m_context.now()) {
        return;
    }
    const bool is_behind = request.applied_revision < m_context.state.revision;
    m_context.log(logging::log_level::information, "grant_lease", entry.name.value,
                  fmt::format("sequence={} revision={} applied={} view={}", request.sequence,
                              m_context.state.revision, request.applied_revision,
                              !is_behind                   ? "current"
                              : is_view_in_transit(status) ? "in_transit"
                                                           : "sent"));
}

/// True when a message in transit brings the entry host up to date.
bool lease_manager::is_view_in_transit(const entry_status& status) const
{
    return !status.sent_views.empty() && status.sent_views.back().version >= m_context.state.revision;
}

void lease_manager::record_view_update(protocol::view_revision from_revision,
                                       protocol::view_revision to_revision)
{
    const shared_map<entry_process_id, entry_status> entries = m_context.state.entry_hosts;
    for (const auto& [entry, status] : entries) {
        const protocol::view_revision expected_revision =
            status.sent_views.empty() ? status.revision : status.sent_views.back().version;
        entry_status updated = status;
        const bool is_applicable = expected_revision != 0 && expected_revision >= from_revision;
        if (is_applicable && status.sent_views.size() < max_views_in_transit) {
            updated.sent_views.push_back({to_revision, status.last_grant_sequence, m_context.now()});
        } else {
            updated.sent_views.clear();
        }
        m_context.state.entry_hosts = std::move(m_context.state.entry_hosts).set(entry, std::move(updated));
    }
}

void lease_manager::send_view(const host_name& entry_host)
{
    protocol::view_update view{0, m_context.state.revision, {}};
    for (const auto& [name, record] : m_context.directory().groups) {
        view.groups.push_back({name, record});
    }
    m_context.send(entry_host, std::move(view));
    send_servers(entry_host);
}

void lease_manager::send_servers(const host_name& entry_host)
{
    protocol::server_reports reports;
    for (const auto& [name, status] : m_context.state.servers) {
        reports.reports.push_back(status.report);
    }
    // A new leader may not have received reports of all servers.
    reports.is_complete = m_context.now() - m_context.state.leading_since >= silent_server_retention;
    m_context.send(entry_host, std::move(reports));
}

std::uint64_t lease_manager::servers_digest() const
{
    std::uint64_t digest = 0;
    for (const auto& [name, status] : m_context.state.servers) {
        digest += protocol::session_server_hash(status.report);
    }
    return digest;
}

bool lease_manager::is_lease_withheld(const entry_process_id& entry) const
{
    const auto& changes = m_context.state.primary_changes;
    return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
        return change.second.stage == primary_change_stage::revoking &&
               change.second.unconfirmed_entries.contains(entry);
    });
}

void lease_manager::update_relay_plan()
{
    if (m_context.now() < m_context.state.next_relay_plan_at) {
        return;
    }
    std::vector<protocol::relay_host> hosts;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        if (status.relay_address && !status.is_stopping && !status.is_replaced &&
            status.lease_end > m_context.now()) {
            hosts.push_back({entry.name, *status.relay_address, status.zone});
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    const configuration::configuration_version version = m_context.directory().configuration->version;
    if (hosts == m_context.state.relay_hosts && version == m_context.state.relay_plan_version) {
        return;
    }
    m_context.state.relay_hosts = hosts;
    m_context.state.relay_plan_version = version;
    std::map<group_name, std::vector<protocol::relay_host>> holders;
    for (const auto& [name, group] : m_context.directory().configuration->content.groups) {
        holders[name] = select_connection_holders(name, group.connections, hosts);
    }
    const std::uint64_t digest = digest_holders(holders, relay_choice_for_configuration());
    if (digest == m_context.state.holders_digest) {
        return;
    }
    m_context.state.next_relay_plan_at = m_context.now() + relay_plan_interval;
    m_context.state.connection_holders = std::move(holders);
    m_context.state.holders_digest = digest;
    m_context.log(logging::log_level::information, "plan_relays", "",
                  "hosts=" + std::to_string(hosts.size()) +
                      " groups=" + std::to_string(m_context.state.connection_holders.size()) +
                      " digest=" + std::to_string(m_context.state.holders_digest));
}

std::vector<host_name> lease_manager::hosts_connected_to(const group_name& group) const
{
    std::vector<host_name> live = live_hosts();
    std::vector<host_name> connected;
    std::copy_if(live.begin(), live.end(), std::back_inserter(connected),
                 [&](const host_name& host) { return m_connections.holds_connections(group, host); });
    return connected.empty() ? live : connected;
}

} // namespace hickorymount::supervision::detail
