#include "net/byte_budget.h"

#include <algorithm>

namespace hickorymount::net {

namespace {

/// A message up to this fraction of the longest one is short: 16 KiB of 1 MiB.
constexpr std::size_t short_message_share = 64;

/// Connections by a part of their use, in descending order, until the parts add up to `excess_bytes`.
template <class Part>
std::vector<connection_id> largest_by(const std::map<connection_id, connection_use>& uses,
                                      std::size_t excess_bytes, Part part)
{
    std::vector<std::pair<std::size_t, connection_id>> candidates;
    for (const auto& [connection, use] : uses) {
        if (part(use) > 0) {
            candidates.emplace_back(part(use), connection);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<connection_id> chosen;
    std::size_t freed_bytes = 0;
    for (const auto& [bytes, connection] : candidates) {
        if (freed_bytes >= excess_bytes) {
            break;
        }
        freed_bytes += bytes;
        chosen.push_back(connection);
    }
    return chosen;
}

} // namespace

std::vector<connection_id> heaviest_connections(const std::map<connection_id, connection_use>& uses,
                                                std::size_t excess_bytes)
{
    return largest_by(uses, excess_bytes, [](const connection_use& use) { return use.total_bytes(); });
}

std::vector<connection_id> slowest_readers(const std::map<connection_id, connection_use>& uses,
                                           std::size_t excess_bytes)
{
    return largest_by(uses, excess_bytes, [](const connection_use& use) { return use.unsent_bytes; });
}

void byte_budget::set_use(connection_id connection, const connection_use& use)
{
    const auto found = m_uses.find(connection);
    const connection_use before = found == m_uses.end() ? connection_use{} : found->second;
    if (before == use) {
        return;
    }
    m_used_bytes += use.total_bytes() - before.total_bytes();
    m_unsent_bytes += use.unsent_bytes - before.unsent_bytes;
    if (before.unfinished_bytes != use.unfinished_bytes) {
        m_unfinished.erase({before.unfinished_bytes, connection});
        if (use.unfinished_bytes > 0) {
            m_unfinished.emplace(use.unfinished_bytes, connection);
        }
    }
    if (use == connection_use{}) {
        m_uses.erase(connection);
    } else {
        m_uses[connection] = use;
    }
}

void byte_budget::remove(connection_id connection)
{
    set_use(connection, {});
    m_waiting.erase(connection);
    if (m_waiting.empty()) {
        m_waiting_since.reset();
    }
}

std::size_t byte_budget::reserve_threshold() const
{
    return m_limits.total_bytes - m_limits.total_bytes / 4;
}

std::size_t byte_budget::excess_response_bytes() const
{
    const auto beyond = [](std::size_t bytes, std::size_t limit) {
        return bytes > limit ? bytes - limit : 0;
    };
    return std::max(std::min(m_unsent_bytes, beyond(m_used_bytes, m_limits.total_bytes)),
                    beyond(m_unsent_bytes, m_limits.total_bytes / 2));
}

bool byte_budget::is_admitted(connection_id connection) const
{
    if (m_used_bytes < reserve_threshold()) {
        return true;
    }
    // Short messages of connections that hold next to nothing are still received, up to the whole budget.
    const auto found = m_uses.find(connection);
    const bool holds_little =
        found == m_uses.end() || found->second.total_bytes() <= m_limits.message_bytes / short_message_share;
    if (holds_little && m_used_bytes < m_limits.total_bytes) {
        return true;
    }
    // One message within the limits is received whatever the others hold.
    const bool is_furthest = !m_unfinished.empty() && m_unfinished.rbegin()->second == connection;
    return is_furthest && m_used_bytes < m_limits.total_bytes + m_limits.message_bytes;
}

bool byte_budget::may_receive(connection_id connection, time_point now)
{
    if (is_admitted(connection)) {
        m_waiting.erase(connection);
        return true;
    }
    m_waiting.insert(connection);
    m_waiting_since = m_waiting_since.value_or(now);
    return false;
}

std::vector<connection_id> byte_budget::take_admitted()
{
    std::vector<connection_id> admitted;
    if (m_used_bytes < reserve_threshold()) {
        admitted.assign(m_waiting.begin(), m_waiting.end());
        m_waiting.clear();
    } else {
        for (const connection_id connection : m_waiting) {
            if (is_admitted(connection)) {
                admitted.push_back(connection);
            }
        }
        for (const connection_id connection : admitted) {
            m_waiting.erase(connection);
        }
    }
    if (m_waiting.empty()) {
        m_waiting_since.reset();
    }
    return admitted;
}

std::vector<connection_id> byte_budget::connections_to_close(time_point now)
{
    if (has_excess_responses()) {
        return slowest_readers(m_uses, excess_response_bytes());
    }
    const bool is_overdue = m_waiting_since && now - *m_waiting_since >= m_limits.wait_timeout;
    if (!is_overdue || m_used_bytes < reserve_threshold()) {
        return {};
    }
    m_waiting_since = now;
    return heaviest_connections(m_uses, m_used_bytes - reserve_threshold() + 1);
}

} // namespace hickorymount::net
