#include "sessions/check_schedule.h"

#include <algorithm>
#include <functional>

namespace hickorymount::sessions {

void check_schedule::add(const scheduled_check& check)
{
    m_heap.push_back(check);
    std::push_heap(m_heap.begin(), m_heap.end(), std::greater<>());
}

std::optional<scheduled_check> check_schedule::earliest() const
{
    return m_heap.empty() ? std::nullopt : std::optional(m_heap.front());
}

void check_schedule::remove_earliest()
{
    std::pop_heap(m_heap.begin(), m_heap.end(), std::greater<>());
    m_heap.pop_back();
}

} // namespace hickorymount::sessions
