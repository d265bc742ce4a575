#include "supervision/internal/connection_allocator.h"

#include "supervision/internal/region_share.h"

#include <algorithm>
#include <utility>

namespace hickorymount::supervision::detail {

namespace {

/// At most one connection in this many is reserved for probes and orders.
constexpr std::uint32_t reserved_connections_divisor = 8;

std::uint32_t value_or_zero(const std::map<backend_server_name, std::uint32_t>& counts,
                            const backend_server_name& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

connection_allocator::connection_allocator(supervision_context& context) : m_context(context) {}

void connection_allocator::record_request(const protocol::lease_request& request)
{
    remove_entry(request.entry);
    std::set<backend_server_name> used_servers;
    for (const auto* counts : {&request.held_connections, &request.wanted_connections}) {
        for (const auto& [server, count] : *counts) {
            used_servers.insert(server);
        }
    }
    for (const backend_server_name& server : used_servers) {
        m_context.state.connection_uses[server][request.entry] = {
            value_or_zero(request.held_connections, server),
            value_or_zero(request.wanted_connections, server)};
    }
    m_context.state.used_servers[request.entry] = std::move(used_servers);
}

void connection_allocator::record_grant(const protocol::lease_request& request,
                                        const std::map<backend_server_name, std::uint32_t>& shares)
{
    for (const auto& [server, share] : shares) {
        connection_use& use = m_context.state.connection_uses[server][request.entry];
        use.held = std::max(share, value_or_zero(request.held_connections, server));
        m_context.state.used_servers[request.entry].insert(server);
    }
}

void connection_allocator::remove_entry(const entry_process_id& entry)
{
    const auto used = m_context.state.used_servers.find(entry);
    if (used == m_context.state.used_servers.end()) {
        return;
    }
    for (const backend_server_name& server : used->second) {
        const auto uses = m_context.state.connection_uses.find(server);
        uses->second.erase(entry);
        if (uses->second.empty()) {
            m_context.state.connection_uses.erase(uses);
        }
    }
    m_context.state.used_servers.erase(used);
}

std::map<backend_server_name, std::uint32_t>
connection_allocator::shares_for(const protocol::lease_request& request) const
{
    std::map<backend_server_name, std::uint32_t> shares;
    std::map<group_name, std::uint32_t> limits;
    for (const auto& [name, group] : m_context.directory().configuration->content.groups) {
        if (holds_connections(name, request.entry.name)) {
            limits[name] = group.connections;
        }
    }
    for (const auto& [server, status] : m_context.state.servers) {
        const auto limit = limits.find(status.report.group);
        if (limit != limits.end()) {
            shares[server] = share_for(request, status.report, limit->second);
        }
    }
    return shares;
}

bool connection_allocator::holds_connections(const group_name& group, const host_name& entry_host) const
{
    const auto found = m_context.state.connection_holders.find(group);
    return found == m_context.state.connection_holders.end() || found->second.empty() ||
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const protocol::relay_host& holder) { return holder.name == entry_host; });
}

std::uint32_t connection_allocator::share_for(const protocol::lease_request& request,
                                              const protocol::server_report& report,
                                              std::uint32_t connection_limit) const
{
    const bool needs_reserve = report.interface == protocol::server_interface::sessions;
    const std::uint32_t whole_limit =
        connection_limit -
        (needs_reserve ? std::min(max_reserved_connections, connection_limit / reserved_connections_divisor)
                       : 0);
    const connection_part part = part_for(request, report, whole_limit);
    const auto [limit, holders] = std::pair(part.limit, part.holders);
    const std::uint32_t wanted = std::max(1U, value_or_zero(request.wanted_connections, report.name));
    std::uint32_t held_by_others = 0;
    std::uint32_t wanted_by_all = wanted;
    std::uint32_t counted_holders = 1;
    const auto uses = m_context.state.connection_uses.find(report.name);
    if (uses != m_context.state.connection_uses.end()) {
        for (const auto& [entry, use] : uses->second) {
            if (entry == request.entry || !is_live(entry) ||
                !shares(part, m_context.state.entry_hosts.find(entry)->zone)) {
                continue;
            }
            held_by_others += use.held;
            if (holds_connections(report.group, entry.name)) {
                wanted_by_all += std::max(1U, use.wanted);
                ++counted_holders;
            }
        }
    }
    wanted_by_all += holders > counted_holders ? holders - counted_holders : 0;
    const std::uint32_t spare = wanted_by_all < limit ? (limit - wanted_by_all) / holders : 0;
    const std::uint32_t target =
        wanted_by_all <= limit ? wanted + spare : std::max(1U, limit * wanted / wanted_by_all);
    const std::uint32_t left_by_others = limit > held_by_others ? limit - held_by_others : 0;
    // The connections of a host that this leader has not heard are unknown; assume an equal share, which is
    // one for as many hosts as there are connections.
    const std::uint32_t held_by_unheard =
        unheard_holder_count(report.group, request.entry, part) * std::max(1U, limit / holders);
    const std::uint32_t available = left_by_others > held_by_unheard ? left_by_others - held_by_unheard : 0;
    // A host keeps connections up to its target although others hold too many: they give up what exceeds
    // their own targets. Where hosts outnumber connections, the targets exceed the limit.
    const std::uint32_t held = value_or_zero(request.held_connections, report.name);
    const std::uint32_t kept = holders <= limit ? held : std::min(held, left_by_others);
    return std::min(target, std::max(available, kept));
}

bool connection_allocator::is_live(const entry_process_id& entry) const
{
    const entry_status* status = m_context.state.entry_hosts.find(entry);
    return status != nullptr && status->lease_end > m_context.now() && !status->is_replaced;
}

std::uint32_t connection_allocator::holder_count(const group_name& group,
                                                 const entry_process_id& requester) const
{
    const auto found = m_context.state.connection_holders.find(group);
    if (found != m_context.state.connection_holders.end() && !found->second.empty()) {
        return static_cast<std::uint32_t>(found->second.size());
    }
    std::uint32_t count = 1;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        const bool is_other_live =
            entry != requester && status.lease_end > m_context.now() && !status.is_replaced;
        count += is_other_live ? 1 : 0;
    }
    return count;
}

std::uint32_t connection_allocator::unheard_holder_count(const group_name& group,
                                                         const entry_process_id& requester,
                                                         const connection_part& part) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_context.state.unheard_entries.begin(), m_context.state.unheard_entries.end(),
                      [&](const entry_process_id& unheard) {
                          return unheard.name != requester.name && is_live(unheard) &&
                                 holds_connections(group, unheard.name) &&
                                 shares(part, m_context.state.entry_hosts.find(unheard)->zone);
                      }));
}

connection_allocator::connection_part connection_allocator::part_for(const protocol::lease_request& request,
                                                                     const protocol::server_report& report,
                                                                     std::uint32_t limit) const
{
    connection_part part{limit, holder_count(report.group, request.entry), std::nullopt, report.zone};
    const std::optional<bool> is_near_server = is_near(request.zone, report.zone);
    const auto holders = m_context.state.connection_holders.find(report.group);
    if (!is_near_server || holders == m_context.state.connection_holders.end() || holders->second.empty()) {
        return part;
    }
    const auto near_holders = static_cast<std::uint32_t>(std::count_if(
        holders->second.begin(), holders->second.end(), [&](const protocol::relay_host& holder) {
            return is_near(holder.zone, report.zone).value_or(false);
        }));
    const auto far_holders = static_cast<std::uint32_t>(holders->second.size()) - near_holders;
    const region_split split = split_by_region(limit, near_holders, far_holders);
    part.is_near = is_near_server;
    part.limit = *is_near_server ? split.near_limit : split.far_limit;
    part.holders = std::max(1U, *is_near_server ? near_holders : far_holders);
    return part;
}

bool connection_allocator::shares(const connection_part& part, const availability_zone& zone) const
{
    const std::optional<bool> other = part.is_near ? is_near(zone, part.server_zone) : std::nullopt;
    return !other || other == part.is_near;
}

std::optional<bool> connection_allocator::is_near(const availability_zone& zone,
                                                  const availability_zone& server_zone) const
{
    const auto& regions = m_context.state.regions;
    const auto region = regions.find(zone);
    const auto server_region = regions.find(server_zone);
    const bool is_known = m_context.directory().configuration->content.identifies_customers &&
                          region != regions.end() && server_region != regions.end();
    return is_known ? std::optional(region->second == server_region->second) : std::nullopt;
}

} // namespace hickorymount::supervision::detail
