#include "sessions/response_times.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::sessions {

namespace {

/// Round trips change when traffic is rerouted, not with load, so their minimum is kept for long.
constexpr milliseconds period{20'000};
/// The base falls by this part of the difference to a faster response; by more at first, since the very first
/// response may be untypical.
constexpr double base_fall = 0.05;
constexpr double first_base_fall = 0.3;
constexpr std::uint32_t first_responses = 10;
/// It rises towards slower responses with this time constant, whatever their number: statements that wait for
/// seconds in an overload must not look as if they took that long to execute.
constexpr double base_rise_time_ms = 60'000;
/// Weight of the newest response in the moving averages.
constexpr double response_weight = 0.15;
/// After this time without a response, the moving averages count half.
constexpr double half_life_ms = 3000;
/// A comparison of servers uses reads of this time.
constexpr milliseconds recent_reads_time{2000};
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

double weight_by_age(time_point measured_at, time_point now)
{
    return std::exp2(-in_ms(now - measured_at) / half_life_ms);
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
    work_time& work = next.work.at(static_cast<std::size_t>(kind));
    if (work.responses == 0) {
        work.base_ms = took_ms;
        work.responded_at = now;
    }
    const double fall = work.responses < first_responses ? first_base_fall : base_fall;
    const double rise = 1 - std::exp(-in_ms(now - work.responded_at) / base_rise_time_ms);
    work.base_ms += (took_ms < work.base_ms ? fall : rise) * (took_ms - work.base_ms);
    work.responded_at = now;
    work.responses = std::min(work.responses + 1, first_responses);
    if (kind != work_kind::commit) {
        const double queueing = std::max(0.0, took_ms - work.base_ms);
        next.queueing_ms = queueing_ms(times, now);
        next.queueing_ms += response_weight * (queueing - next.queueing_ms);
        next.queueing_measured_at = now;
    }
    const bool is_first = times.responded_at == time_point{};
    next.response_ms = is_first ? took_ms : times.response_ms;
    next.response_ms += response_weight * (took_ms - next.response_ms);
    next.responded_at = now;
    if (kind == work_kind::read) {
        const bool is_first_read = times.read_at == time_point{};
        next.read_response_ms = is_first_read ? took_ms : times.read_response_ms;
        next.read_response_ms += response_weight * (took_ms - next.read_response_ms);
        next.read_at = now;
    }
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
    const work_time& work = times.work.at(static_cast<std::size_t>(kind));
    if (work.responses == 0) {
        return std::nullopt;
    }
    return std::max(min_service_ms, work.base_ms - round_trip_ms(times).value_or(0));
}

double queueing_ms(const response_times& times, time_point now)
{
    return weight_by_age(times.queueing_measured_at, now) * times.queueing_ms;
}

double response_ms(const response_times& times, time_point now)
{
    return weight_by_age(times.responded_at, now) * times.response_ms;
}

std::optional<double> recent_read_ms(const response_times& times, time_point now)
{
    if (times.read_at == time_point{} || now - times.read_at >= recent_reads_time) {
        return std::nullopt;
    }
    return std::max(0.0, times.read_response_ms - round_trip_ms(times).value_or(0));
}

} // namespace hickorymount::sessions
