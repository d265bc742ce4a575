#include "sessions/flight_limit.h"

#include <algorithm>

namespace hickorymount::sessions {

namespace {

/// What remains of the limit after a refusal.
constexpr double lowering_factor = 0.7;
/// What a full flight of answers adds; slow, since a host often has room for two or three statements only.
constexpr double raising_step = 0.2;

} // namespace

flight_limit after_refusal(const flight_limit& limit, std::uint32_t in_flight, time_point now)
{
    if (now - limit.lowered_at < detail::lowering_pause) {
        return limit;
    }
    const double used = std::min(limit.allowed, static_cast<double>(in_flight));
    return {std::max(detail::least_in_flight, used * lowering_factor), now};
}

flight_limit after_answer(const flight_limit& limit, std::uint32_t in_flight)
{
    const bool is_used = static_cast<double>(in_flight) + 1 >= limit.allowed;
    if (!is_used) {
        return limit;
    }
    return {std::min(detail::most_in_flight, limit.allowed + raising_step / limit.allowed), limit.lowered_at};
}

bool may_send(const flight_limit& limit, std::uint32_t in_flight)
{
    return static_cast<double>(in_flight) + 1 <= limit.allowed;
}

} // namespace hickorymount::sessions
