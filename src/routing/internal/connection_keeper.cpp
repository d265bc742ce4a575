#include "routing/internal/connection_keeper.h"

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

connection_keeper::connection_keeper(entry_step& step) : m_step(step) {}

std::optional<connection_number> connection_keeper::take(const backend_server_name& server)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr || known->connections.idle.empty()) {
        return std::nullopt;
    }
    server_state next = *known;
    const connection_number connection = next.connections.idle.back();
    next.connections.idle.pop_back();
    next.connections.busy.insert(connection);
    next.connections.peak_busy = std::max(next.connections.peak_busy, count(next.connections.busy.size()));
    m_step.set_server(server, std::move(next));
    return connection;
}

void connection_keeper::give_back(const backend_server_name& server, connection_number connection)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr || !known->connections.busy.contains(connection)) {
        return;
    }
    if (open_count(known->connections) > known->connections.share) {
        end(server, connection);
        return;
    }
    server_state next = *known;
    next.connections.busy.erase(connection);
    next.connections.idle.push_back(connection);
    m_step.set_server(server, std::move(next));
}

void connection_keeper::forget(const backend_server_name& server, connection_number connection)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr) {
        return;
    }
    server_state next = *known;
    std::erase(next.connections.idle, connection);
    next.connections.busy.erase(connection);
    next.connections.closing.erase(connection);
    next.position_query_connection =
        next.position_query_connection == connection ? 0 : next.position_query_connection;
    if (next.connections.opening.erase(connection) > 0) {
        next.connections.open_not_before = m_step.now + connection_retry_delay;
    }
    m_step.set_server(server, std::move(next));
    adjust(server);
}

void connection_keeper::end(const backend_server_name& server, connection_number connection)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr || known->connections.closing.contains(connection)) {
        return;
    }
    server_state next = *known;
    std::erase(next.connections.idle, connection);
    next.connections.busy.erase(connection);
    next.connections.opening.erase(connection);
    next.connections.closing.insert(connection);
    m_step.set_server(server, std::move(next));
    m_step.effects.emplace_back(close_connection{connection});
}

void connection_keeper::opened(const backend_server_name& server, connection_number connection)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr || !known->connections.opening.contains(connection)) {
        return;
    }
    server_state next = *known;
    next.connections.opening.erase(connection);
    next.connections.idle.push_back(connection);
    m_step.set_server(server, std::move(next));
    adjust(server);
}

void connection_keeper::end_all()
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        // Reads of replicas go on without a lease; the servers refuse what is over their limit.
        if (server.report.speaks == protocol::server_interface::sessions) {
            continue;
        }
        set_share(name, 0);
        for (const connection_number connection : server.connections.busy) {
            end(name, connection);
        }
    }
}

void connection_keeper::end_idle(const backend_server_name& server)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr) {
        return;
    }
    const std::vector<connection_number> idle = known->connections.idle;
    for (const connection_number connection : idle) {
        end(server, connection);
    }
}

void connection_keeper::set_share(const backend_server_name& server, std::uint32_t share)
{
    const server_state* known = m_step.state.servers.find(server);
    if (known == nullptr) {
        return;
    }
    if (known->connections.share != share) {
        server_state next = *known;
        next.connections.share = share;
        m_step.set_server(server, std::move(next));
    }
    adjust(server);
}

void connection_keeper::adjust(const backend_server_name& server)
{
    const server_state& known = *m_step.state.servers.find(server);
    const std::uint32_t open = open_count(known.connections);
    if (open > known.connections.share) {
        std::vector<connection_number> surplus = known.connections.idle;
        surplus.resize(std::min<std::size_t>(surplus.size(), open - known.connections.share));
        for (const connection_number connection : surplus) {
            end(server, connection);
        }
        return;
    }
    // The traffic thread opens the others itself.
    if (known.report.speaks == protocol::server_interface::sessions) {
        return;
    }
    const bool may_open = m_step.now >= known.connections.open_not_before && !known.report.leaving &&
                          m_step.now - known.heard_at < report_timeout && open < known.connections.share;
    if (!may_open) {
        return;
    }
    server_state next = known;
    for (std::uint32_t at = open; at < known.connections.share; ++at) {
        const connection_number connection = m_step.next_number();
        next.connections.opening.insert(connection);
        m_step.effects.emplace_back(open_connection{server, next.report.address, connection});
    }
    m_step.set_server(server, std::move(next));
}

void connection_keeper::adjust_all()
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        adjust(name);
    }
}

std::map<backend_server_name, std::uint32_t> connection_keeper::held() const
{
    std::map<backend_server_name, std::uint32_t> counts;
    for (const auto& [name, server] : m_step.state.servers) {
        const auto use = m_step.state.connection_usages.find(name);
        const std::uint32_t in_sessions = use == m_step.state.connection_usages.end() ? 0 : use->second.open;
        const std::uint32_t held =
            std::max({server.connections.share, open_count(server.connections), in_sessions});
        if (held > 0) {
            counts[name] = held;
        }
    }
    return counts;
}

std::map<backend_server_name, std::uint32_t> connection_keeper::wanted() const
{
    std::map<backend_server_name, std::uint32_t> counts;
    for (const auto& [name, server] : m_step.state.servers) {
        const auto use = m_step.state.connection_usages.find(name);
        if (use != m_step.state.connection_usages.end()) {
            if (use->second.open > 0 || use->second.wanted > 0) {
                counts[name] = std::max(1U, use->second.wanted);
            }
            continue;
        }
        const group_state* group = m_step.state.groups.find(server.report.group);
        const std::uint32_t queued = group == nullptr ? 0 : count(group->queue.size());
        const std::uint32_t wanted = server.connections.peak_busy + queued;
        if (wanted > 0) {
            counts[name] = wanted;
        }
    }
    return counts;
}

void connection_keeper::reset_peaks()
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        if (server.connections.peak_busy == server.connections.busy.size()) {
            continue;
        }
        server_state next = server;
        next.connections.peak_busy = count(server.connections.busy.size());
        m_step.set_server(name, std::move(next));
    }
}

} // namespace hickorymount::routing::detail
