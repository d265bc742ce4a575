#include "sessions/response_times.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::sessions {

namespace {

/// Round trips change when traffic is rerouted, not with load, so their minimum is kept for long.
constexpr milliseconds period{20'000};
/// The percentile that the base follows, and the relative size of its steps. It rises by 0.5% and falls
/// by 4.5% with a response, so that an overload of a few seconds raises it by less than half.
constexpr double base_percentile = 0.1;
constexpr double base_step = 0.05;
/// Weight of the newest response in the moving averages.
constexpr double response_weight = 0.15;
/// After this time without a response, the moving averages count half.
constexpr double half_life_ms = 1000;
/// Clocks are rounded to whole milliseconds, and the round trip is only bounded from above.
constexpr double min_service_ms = 5;

response_times with_fastest(response_times times, double took_ms, time_point now)
{
    if (now - times.period_began_at >= period) {
        times.previous_fastest_ms = times.fastest_ms;
        times.fastest_ms.reset();
        times.period_began_at = now;
    }
    times.fastest_ms = std::min(took_ms, times.fastest_ms.value_or(took_ms));
    return times;
}

double in_ms(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

double weight_by_age(const response_times& times, time_point now)
{
    return std::exp2(-in_ms(now - times.responded_at) / half_life_ms);
}

} // namespace

response_times after_opening(const response_times& times, milliseconds took, time_point now)
{
    return with_fastest(times, in_ms(took) / 2, now);
}

response_times after_exchange(const response_times& times, milliseconds took, time_point now)
{
    return with_fastest(times, in_ms(took), now);
}

response_times after_statement(const response_times& times, work_kind kind, milliseconds took, time_point now)
{
    const double took_ms = in_ms(took);
    response_times next = with_fastest(times, took_ms, now);
    std::optional<double>& base = next.base_ms.at(static_cast<std::size_t>(kind));
    if (!base) {
        base = took_ms;
    } else if (took_ms < *base) {
        base = std::max(took_ms, *base * (1 - base_step * (1 - base_percentile)));
    } else {
        base = std::min(took_ms, *base * (1 + base_step * base_percentile));
    }
    const double age_weight = weight_by_age(times, now);
    const double queueing = std::max(0.0, took_ms - *base);
    const bool is_first = times.responded_at == time_point{};
    next.queueing_ms = age_weight * times.queueing_ms;
    next.queueing_ms += response_weight * (queueing - next.queueing_ms);
    next.response_ms = is_first ? took_ms : times.response_ms;
    next.response_ms += response_weight * (took_ms - next.response_ms);
    next.responded_at = now;
    return next;
}

std::optional<double> round_trip_ms(const response_times& times)
{
    if (!times.fastest_ms) {
        return times.previous_fastest_ms;
    }
    return std::min(*times.fastest_ms, times.previous_fastest_ms.value_or(*times.fastest_ms));
}

std::optional<double> service_ms(const response_times& times, work_kind kind)
{
    const std::optional<double> base = times.base_ms.at(static_cast<std::size_t>(kind));
    if (!base) {
        return std::nullopt;
    }
    return std::max(min_service_ms, *base - round_trip_ms(times).value_or(0));
}

double queueing_ms(const response_times& times, time_point now)
{
    return weight_by_age(times, now) * times.queueing_ms;
}

double response_ms(const response_times& times, time_point now)
{
    return weight_by_age(times, now) * times.response_ms;
}

} // namespace hickorymount::sessions
