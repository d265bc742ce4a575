#include "sessions/concurrency_limit.h"

#include <algorithm>

namespace hickorymount::sessions {

namespace {

/// Factor applied to the limit after a refusal.
constexpr double decrease_factor = 0.7;
/// Increase of the limit after a full window of responses. It is small because a server often has capacity
/// for only two or three statements of one host.
constexpr double increase_step = 0.2;

} // namespace

concurrency_limit after_refusal(const concurrency_limit& limit, std::uint32_t in_flight, time_point now)
{
    if (now - limit.decreased_at < detail::decrease_interval) {
        return limit;
    }
    const double used = std::min(limit.allowed, static_cast<double>(in_flight));
    return {std::max(detail::min_in_flight, used * decrease_factor), now};
}

concurrency_limit after_answer(const concurrency_limit& limit, std::uint32_t in_flight)
{
    const bool is_used = static_cast<double>(in_flight) + 1 >= limit.allowed;
    if (!is_used) {
        return limit;
    }
    return {std::min(detail::max_in_flight, limit.allowed + increase_step / limit.allowed),
            limit.decreased_at};
}

bool may_send(const concurrency_limit& limit, std::uint32_t in_flight)
{
    return static_cast<double>(in_flight) + 1 <= limit.allowed;
}

} // namespace hickorymount::sessions
