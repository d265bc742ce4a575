#include "supervision/internal/connection_shares.h"

#include <algorithm>

namespace hickorymount::supervision::detail {

namespace {

/// Orders never take more of a server's connections than one in this many.
constexpr std::uint32_t part_for_orders = 8;

std::uint32_t value_or_zero(const std::map<backend_server_name, std::uint32_t>& counts,
                            const backend_server_name& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

connection_shares::connection_shares(supervision_step& step) : m_step(step) {}

void connection_shares::note_request(const protocol::lease_request& request)
{
    forget(request.entry);
    std::set<backend_server_name> named;
    for (const auto* counts : {&request.held_connections, &request.wanted_connections}) {
        for (const auto& [server, count] : *counts) {
            named.insert(server);
        }
    }
    for (const backend_server_name& server : named) {
        m_step.state.uses[server][request.entry] = {value_or_zero(request.held_connections, server),
                                                    value_or_zero(request.wanted_connections, server)};
    }
    m_step.state.used_servers[request.entry] = std::move(named);
}

void connection_shares::note_granted(const protocol::lease_request& request,
                                     const std::map<backend_server_name, std::uint32_t>& shares)
{
    for (const auto& [server, share] : shares) {
        connection_use& use = m_step.state.uses[server][request.entry];
        use.held = std::max(share, value_or_zero(request.held_connections, server));
        m_step.state.used_servers[request.entry].insert(server);
    }
}

void connection_shares::forget(const entry_key& entry)
{
    const auto used = m_step.state.used_servers.find(entry);
    if (used == m_step.state.used_servers.end()) {
        return;
    }
    for (const backend_server_name& server : used->second) {
        const auto uses = m_step.state.uses.find(server);
        uses->second.erase(entry);
        if (uses->second.empty()) {
            m_step.state.uses.erase(uses);
        }
    }
    m_step.state.used_servers.erase(used);
}

std::map<backend_server_name, std::uint32_t>
connection_shares::shares_for(const protocol::lease_request& request) const
{
    std::map<backend_server_name, std::uint32_t> shares;
    std::map<group_name, std::uint32_t> limits;
    for (const auto& [name, group] : m_step.directory().configuration->content.groups) {
        if (holds_connections(name, request.entry.name)) {
            limits[name] = group.connections;
        }
    }
    for (const auto& [server, status] : m_step.state.servers) {
        const auto limit = limits.find(status.report.group);
        if (limit != limits.end()) {
            shares[server] = share_for(request, status.report, limit->second);
        }
    }
    return shares;
}

bool connection_shares::holds_connections(const group_name& group, const host_name& entry) const
{
    const auto found = m_step.state.holders.find(group);
    return found == m_step.state.holders.end() || found->second.empty() ||
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const protocol::relay_host& each) { return each.name == entry; });
}

std::uint32_t connection_shares::share_for(const protocol::lease_request& request,
                                           const protocol::server_report& report,
                                           std::uint32_t connections) const
{
    const bool needs_reserve = report.speaks == protocol::server_interface::sessions;
    const std::uint32_t limit =
        connections - (needs_reserve ? std::min(connections_for_orders, connections / part_for_orders) : 0);
    const std::uint32_t holders = holder_count(report.group, request.entry);
    const std::uint32_t wanted = std::max(1U, value_or_zero(request.wanted_connections, report.name));
    // A host that this leader has not heard yet is taken to hold its fair part.
    std::uint32_t held_by_others = unheard_count(report.group, request.entry) * (limit / holders);
    std::uint32_t wanted_by_all = wanted;
    std::uint32_t counted = 1;
    const auto uses = m_step.state.uses.find(report.name);
    if (uses != m_step.state.uses.end()) {
        for (const auto& [entry, use] : uses->second) {
            if (entry == request.entry || !is_live(entry)) {
                continue;
            }
            held_by_others += use.held;
            if (holds_connections(report.group, entry.name)) {
                wanted_by_all += std::max(1U, use.wanted);
                ++counted;
            }
        }
    }
    wanted_by_all += holders > counted ? holders - counted : 0;
    const std::uint32_t spare = wanted_by_all < limit ? (limit - wanted_by_all) / holders : 0;
    const std::uint32_t target =
        wanted_by_all <= limit ? wanted + spare : std::max(1U, limit * wanted / wanted_by_all);
    const std::uint32_t available = limit > held_by_others ? limit - held_by_others : 0;
    return std::min(target, available);
}

bool connection_shares::is_live(const entry_key& entry) const
{
    const entry_status* status = m_step.state.entries.find(entry);
    return status != nullptr && status->lease_end > m_step.now() && !status->is_replaced;
}

std::uint32_t connection_shares::holder_count(const group_name& group, const entry_key& asking) const
{
    const auto found = m_step.state.holders.find(group);
    if (found != m_step.state.holders.end() && !found->second.empty()) {
        return static_cast<std::uint32_t>(found->second.size());
    }
    std::uint32_t count = 1;
    for (const auto& [entry, status] : m_step.state.entries) {
        const bool counts = entry != asking && status.lease_end > m_step.now() && !status.is_replaced;
        count += counts ? 1 : 0;
    }
    return count;
}

std::uint32_t connection_shares::unheard_count(const group_name& group, const entry_key& asking) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_step.state.unheard.begin(), m_step.state.unheard.end(), [&](const entry_key& each) {
            return each.name != asking.name && is_live(each) && holds_connections(group, each.name);
        }));
}

} // namespace hickorymount::supervision::detail
