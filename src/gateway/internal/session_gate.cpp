#include "gateway/internal/session_gate.h"

#include <algorithm>

namespace hickorymount::gateway::detail {

using sessions::session_number;

const char* to_string(close_reason reason)
{
    switch (reason) {
    case close_reason::too_many_connections:
        return "too many connections";
    case close_reason::no_opening_line:
        return "no opening line";
    case close_reason::unfinished_line:
        return "unfinished line";
    case close_reason::budget_exhausted:
        return "budget exhausted";
    case close_reason::long_values:
        return "long values";
    }
    return "unnamed";
}

std::optional<refused_connection> session_gate::admit(session_number session, time_point now)
{
    std::optional<refused_connection> refused;
    if (m_connections.size() >= m_limits.max_connections) {
        const auto unopened = std::find_if(m_watched.begin(), m_watched.end(), [this](session_number each) {
            return !m_connections.at(each).has_opened;
        });
        refused = refused_connection{unopened == m_watched.end() ? session : *unopened,
                                     close_reason::too_many_connections};
        if (refused->session == session) {
            return refused;
        }
    }
    connection added;
    added.accepted_at = added.measured_since = now;
    update_watch(session, m_connections.emplace(session, added).first->second);
    return refused;
}

void session_gate::remove(session_number session)
{
    m_connections.erase(session);
    m_watched.erase(session);
    m_with_long_values.erase(session);
    m_budget.remove(session);
}

void session_gate::record_opening(session_number session)
{
    const auto found = m_connections.find(session);
    if (found != m_connections.end()) {
        found->second.has_opened = true;
        update_watch(session, found->second);
    }
}

void session_gate::record_statement(session_number session, std::size_t bytes)
{
    const auto found = m_connections.find(session);
    if (found != m_connections.end()) {
        found->second.statements.push_back(bytes);
        found->second.statement_bytes += bytes;
        update_budget(session, found->second);
    }
}

void session_gate::record_response(session_number session)
{
    const auto found = m_connections.find(session);
    if (found != m_connections.end() && !found->second.statements.empty()) {
        found->second.statement_bytes -= found->second.statements.front();
        found->second.statements.pop_front();
        update_budget(session, found->second);
    }
}

void session_gate::record_values(session_number session, std::size_t bytes)
{
    const auto found = m_connections.find(session);
    if (found == m_connections.end()) {
        return;
    }
    found->second.value_bytes = bytes;
    update_budget(session, found->second);
    if (bytes > 2 * m_limits.budget.message_bytes) {
        m_with_long_values.insert(session);
    } else {
        m_with_long_values.erase(session);
    }
}

void session_gate::record_leaving(session_number session)
{
    const auto found = m_connections.find(session);
    if (found == m_connections.end()) {
        return;
    }
    connection leaving;
    leaving.has_opened = true;
    leaving.unsent_bytes = found->second.unsent_bytes;
    found->second = leaving;
    update_budget(session, leaving);
    update_watch(session, leaving);
    m_with_long_values.erase(session);
}

void session_gate::record_buffers(session_number session, std::size_t received_bytes,
                                  std::size_t unsent_bytes, std::uint64_t total_received_bytes,
                                  time_point now)
{
    const auto found = m_connections.find(session);
    if (found == m_connections.end()) {
        return;
    }
    connection& current = found->second;
    const bool has_progressed = current.received_bytes == 0 ||
                                total_received_bytes - current.measured_from_bytes >= min_progress_bytes;
    if (has_progressed) {
        current.measured_since = now;
        current.measured_from_bytes = total_received_bytes;
    }
    current.received_bytes = received_bytes;
    current.unsent_bytes = unsent_bytes;
    update_budget(session, current);
    update_watch(session, current);
}

bool session_gate::accepts_lines(const connection& current)
{
    return current.statements.empty() || (current.statements.size() < max_session_statements &&
                                          current.statement_bytes < max_session_statement_bytes);
}

bool session_gate::accepts_lines(session_number session) const
{
    const auto found = m_connections.find(session);
    return found == m_connections.end() || accepts_lines(found->second);
}

bool session_gate::may_read(session_number session, time_point now)
{
    return !m_connections.contains(session) || m_budget.may_receive(session, now);
}

std::vector<refused_connection> session_gate::connections_to_close(time_point now)
{
    std::map<session_number, close_reason> closed;
    for (const session_number session : m_watched) {
        connection& current = m_connections.at(session);
        if (!current.has_opened && now - current.accepted_at >= m_limits.opening_timeout) {
            closed.emplace(session, close_reason::no_opening_line);
            continue;
        }
        // A line that this process does not read makes no progress.
        if (current.received_bytes == 0 || m_budget.is_waiting(session) || !accepts_lines(current)) {
            current.measured_since = now;
        } else if (now - current.measured_since >= m_limits.message_timeout) {
            closed.emplace(session, close_reason::unfinished_line);
        }
    }
    for (const session_number session : m_with_long_values) {
        closed.emplace(session, close_reason::long_values);
    }
    for (const session_number session : m_budget.connections_to_close(now)) {
        closed.emplace(session, close_reason::budget_exhausted);
    }
    std::vector<refused_connection> listed;
    listed.reserve(closed.size());
    for (const auto& [session, reason] : closed) {
        listed.push_back({session, reason});
    }
    return listed;
}

void session_gate::update_budget(session_number session, const connection& current)
{
    m_budget.set_use(session, {current.received_bytes,
                               copies_of_statement * current.statement_bytes + current.value_bytes,
                               current.unsent_bytes});
}

void session_gate::update_watch(session_number session, const connection& current)
{
    if (!current.has_opened || current.received_bytes > 0) {
        m_watched.insert(session);
    } else {
        m_watched.erase(session);
    }
}

} // namespace hickorymount::gateway::detail
