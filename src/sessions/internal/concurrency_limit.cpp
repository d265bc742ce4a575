#include "sessions/concurrency_limit.h"

#include <algorithm>

namespace hickorymount::sessions {

namespace {

/// Factor applied to the limit after a refusal, and the strongest decrease by queueing.
constexpr double decrease_factor = 0.7;
/// Part of the excess queueing by which the limit is decreased.
constexpr double queueing_decrease = 0.8;
/// Increase of the limit after a full window of responses. It is small because a server often has capacity
/// for only two or three statements of one host.
constexpr double increase_step = 0.2;
/// Queueing up to this many service times keeps the slots busy through gaps in the arrivals of one host.
constexpr double queueing_target_services = 3;
/// Service times vary by more than this between the statements of one group.
constexpr double min_queueing_target_ms = 50;

/// Hosts with a higher limit have a lower target, so that the limits of hosts that share a server converge.
double queueing_target_ms(const concurrency_limit& limit, const queueing_signal& signal)
{
    const double target = std::max(queueing_target_services * signal.service_ms, min_queueing_target_ms);
    return target * (0.6 + 0.8 / limit.allowed);
}

concurrency_limit decreased(const concurrency_limit& limit, std::uint32_t in_flight, double factor,
                            time_point now)
{
    const double used = std::min(limit.allowed, static_cast<double>(in_flight));
    return {std::max(detail::min_in_flight, used * factor), now};
}

} // namespace

concurrency_limit after_refusal(const concurrency_limit& limit, std::uint32_t in_flight, time_point now)
{
    if (now - limit.decreased_at < detail::decrease_interval) {
        return limit;
    }
    return decreased(limit, in_flight, decrease_factor, now);
}

concurrency_limit after_answer(const concurrency_limit& limit, std::uint32_t in_flight,
                               const queueing_signal& signal, time_point now)
{
    const double target = queueing_target_ms(limit, signal);
    if (signal.queueing_ms > target) {
        // The effect of a decrease shows in the responses to statements that were sent after it.
        const milliseconds effective_after{static_cast<std::int64_t>(signal.response_ms)};
        if (now - limit.decreased_at < std::max(detail::decrease_interval, effective_after)) {
            return limit;
        }
        const double excess = (signal.queueing_ms - target) / signal.queueing_ms;
        return decreased(limit, in_flight, std::max(decrease_factor, 1 - queueing_decrease * excess), now);
    }
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
