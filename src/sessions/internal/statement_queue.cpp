#include "sessions/statement_queue.h"

#include <algorithm>

namespace hickorymount::sessions {

void statement_queue::insert(const queue_place& place)
{
    m_size += m_lanes[place.lane].insert(place.arrival).second ? 1 : 0;
}

void statement_queue::erase(const queue_place& place)
{
    const auto lane = m_lanes.find(place.lane);
    if (lane == m_lanes.end()) {
        return;
    }
    m_size -= lane->second.erase(place.arrival);
    if (lane->second.empty()) {
        m_lanes.erase(lane);
    }
}

std::optional<time_point> statement_queue::oldest_arrival() const
{
    if (m_lanes.empty()) {
        return std::nullopt;
    }
    const auto oldest =
        std::min_element(m_lanes.begin(), m_lanes.end(), [](const auto& left, const auto& right) {
            return *left.second.begin() < *right.second.begin();
        });
    return oldest->second.begin()->received_at;
}

} // namespace hickorymount::sessions
