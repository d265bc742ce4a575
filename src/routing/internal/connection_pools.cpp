#include "routing/internal/connection_pools.h"

#include <algorithm>

namespace hickorymount::routing::detail {

namespace {

std::uint32_t count(std::size_t size)
{
    return static_cast<std::uint32_t>(size);
}

} // namespace

std::uint32_t open_count(const connection_pool& connections)
{
    return count(connections.idle.size() + connections.busy.size() + connections.opening.size() +
                 connections.closing.size());
}

connection_pools::connection_pools(event_context& context) : m_context(context) {}

std::optional<connection_number> connection_pools::acquire(const backend_server_name& server)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr || current->connections.idle.empty()) {
        return std::nullopt;
    }
    server_state next = *current;
    const connection_number connection = next.connections.idle.back();
    next.connections.idle.pop_back();
    next.connections.busy.insert(connection);
    next.connections.peak_busy = std::max(next.connections.peak_busy, count(next.connections.busy.size()));
    m_context.set_server(server, std::move(next));
    return connection;
}

void connection_pools::release(const backend_server_name& server, connection_number connection)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr || !current->connections.busy.contains(connection)) {
        return;
    }
    if (open_count(current->connections) > current->connections.share) {
        close(server, connection);
        return;
    }
    server_state next = *current;
    next.connections.busy.erase(connection);
    next.connections.idle.push_back(connection);
    m_context.set_server(server, std::move(next));
}

void connection_pools::remove(const backend_server_name& server, connection_number connection)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr) {
        return;
    }
    server_state next = *current;
    std::erase(next.connections.idle, connection);
    next.connections.busy.erase(connection);
    next.connections.closing.erase(connection);
    next.position_query_connection =
        next.position_query_connection == connection ? 0 : next.position_query_connection;
    if (next.connections.opening.erase(connection) > 0) {
        next.connections.open_not_before = m_context.now + connection_retry_delay;
    }
    m_context.set_server(server, std::move(next));
    apply_share(server);
}

void connection_pools::close(const backend_server_name& server, connection_number connection)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr || current->connections.closing.contains(connection)) {
        return;
    }
    server_state next = *current;
    std::erase(next.connections.idle, connection);
    next.connections.busy.erase(connection);
    next.connections.opening.erase(connection);
    next.connections.closing.insert(connection);
    m_context.set_server(server, std::move(next));
    m_context.effects.emplace_back(close_connection{connection});
}

void connection_pools::on_opened(const backend_server_name& server, connection_number connection)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr || !current->connections.opening.contains(connection)) {
        return;
    }
    server_state next = *current;
    next.connections.opening.erase(connection);
    next.connections.idle.push_back(connection);
    m_context.set_server(server, std::move(next));
    apply_share(server);
}

void connection_pools::close_all()
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        // Reads on replicas continue without a lease; the servers refuse connections above their limit.
        if (server.report.interface == protocol::server_interface::sessions) {
            continue;
        }
        change_share(name, 0, std::nullopt);
        for (const connection_number connection : server.connections.busy) {
            close(name, connection);
        }
    }
}

void connection_pools::close_idle(const backend_server_name& server)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr) {
        return;
    }
    const std::vector<connection_number> idle = current->connections.idle;
    for (const connection_number connection : idle) {
        close(server, connection);
    }
}

void connection_pools::set_share(const backend_server_name& server, std::uint32_t share)
{
    const server_state* current = m_context.state.servers.find(server);
    if (current == nullptr) {
        return;
    }
    const auto no_share_since = current->connections.no_share_since;
    change_share(server, share,
                 share > 0 ? std::nullopt : std::optional(no_share_since.value_or(m_context.now)));
}

void connection_pools::change_share(const backend_server_name& server, std::uint32_t share,
                                    std::optional<time_point> no_share_since)
{
    const server_state* current = m_context.state.servers.find(server);
    const bool is_changed =
        current->connections.share != share || current->connections.no_share_since != no_share_since;
    if (is_changed) {
        server_state next = *current;
        next.connections.share = share;
        next.connections.no_share_since = no_share_since;
        m_context.set_server(server, std::move(next));
    }
    apply_share(server);
}

void connection_pools::apply_share(const backend_server_name& server)
{
    const server_state& current = *m_context.state.servers.find(server);
    const std::uint32_t open = open_count(current.connections);
    if (open > current.connections.share) {
        std::vector<connection_number> surplus = current.connections.idle;
        surplus.resize(std::min<std::size_t>(surplus.size(), open - current.connections.share));
        for (const connection_number connection : surplus) {
            close(server, connection);
        }
        return;
    }
    // The traffic thread opens the connections of sessions itself.
    if (current.report.interface == protocol::server_interface::sessions) {
        return;
    }
    const bool may_open =
        m_context.now >= current.connections.open_not_before && !current.report.is_leaving &&
        m_context.now - current.last_report_at < report_timeout && open < current.connections.share;
    if (!may_open) {
        return;
    }
    server_state next = current;
    for (std::uint32_t at = open; at < current.connections.share; ++at) {
        const connection_number connection = m_context.next_number();
        next.connections.opening.insert(connection);
        m_context.effects.emplace_back(open_connection{server, next.report.address, connection});
    }
    m_context.set_server(server, std::move(next));
}

void connection_pools::apply_all_shares()
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        apply_share(name);
    }
}

std::map<backend_server_name, std::uint32_t> connection_pools::held() const
{
    std::map<backend_server_name, std::uint32_t> counts;
    for (const auto& [name, server] : m_context.state.servers) {
        const auto use = m_context.state.connection_usages.find(name);
        const std::uint32_t in_sessions =
            use == m_context.state.connection_usages.end() ? 0 : use->second.open;
        const std::uint32_t held =
            std::max({server.connections.share, open_count(server.connections), in_sessions});
        if (held > 0) {
            counts[name] = held;
        }
    }
    return counts;
}

std::map<backend_server_name, std::uint32_t> connection_pools::wanted() const
{
    std::map<backend_server_name, std::uint32_t> counts;
    for (const auto& [name, server] : m_context.state.servers) {
        const auto use = m_context.state.connection_usages.find(name);
        if (use != m_context.state.connection_usages.end()) {
            if (use->second.open > 0 || use->second.wanted > 0) {
                counts[name] = std::max(1U, use->second.wanted);
            }
            continue;
        }
        const group_state* group = m_context.state.groups.find(server.report.group);
        const std::uint32_t queued = group == nullptr ? 0 : count(group->queue.size());
        const std::uint32_t wanted = server.connections.peak_busy + queued;
        if (wanted > 0) {
            counts[name] = wanted;
        }
    }
    return counts;
}

void connection_pools::reset_peaks()
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        if (server.connections.peak_busy == server.connections.busy.size()) {
            continue;
        }
        server_state next = server;
        next.connections.peak_busy = count(server.connections.busy.size());
        m_context.set_server(name, std::move(next));
    }
}

} // namespace hickorymount::routing::detail
