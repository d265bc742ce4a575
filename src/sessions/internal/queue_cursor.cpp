#include "sessions/internal/queue_cursor.h"

#include <algorithm>
#include <iterator>

namespace hickorymount::sessions::detail {

queue_cursor::queue_cursor(const statement_queue& queue, bool serves_newest) : m_serves_newest(serves_newest)
{
    for (const auto& [lane, arrivals] : queue.lanes()) {
        m_lanes.push_back({&lane, &arrivals, serves_newest ? arrivals.end() : arrivals.begin()});
    }
}

std::optional<queue_place> queue_cursor::next()
{
    const auto order = m_serves_newest ? precedes_in_overload : precedes;
    auto best = m_lanes.end();
    for (auto each = m_lanes.begin(); each != m_lanes.end(); ++each) {
        const bool is_candidate = each->arrivals != nullptr && !is_at_end(*each);
        if (is_candidate && (best == m_lanes.end() || order(candidate_of(*each), candidate_of(*best)))) {
            best = each;
        }
    }
    if (best == m_lanes.end()) {
        return std::nullopt;
    }
    const queue_place place{*best->lane, head_of(*best)};
    best->at = m_serves_newest ? std::prev(best->at) : std::next(best->at);
    m_last = static_cast<std::size_t>(best - m_lanes.begin());
    return place;
}

void queue_cursor::skip_lane()
{
    m_lanes.at(m_last).arrivals = nullptr;
}

const statement_arrival& queue_cursor::head_of(const lane_position& position) const
{
    return m_serves_newest ? *std::prev(position.at) : *position.at;
}

queued_statement queue_cursor::candidate_of(const lane_position& position) const
{
    const statement_arrival& head = head_of(position);
    return {head.session, position.lane->continues_transaction, position.lane->priority, head.received_at};
}

bool queue_cursor::is_at_end(const lane_position& position) const
{
    return position.at == (m_serves_newest ? position.arrivals->begin() : position.arrivals->end());
}

} // namespace hickorymount::sessions::detail
