#include "sessions/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::sessions {

namespace {

/// Weight of the past: after this much observed time, it is a third. A host of a large deployment finishes
/// one to three statements of a group in a second.
constexpr double memory_ms = 3000;
/// Observed time from which on the rate of at least `min_finished` statements is taken as known.
constexpr double min_observed_ms = 600;
constexpr double min_finished = 3;
/// Observed time from which on any rate is taken as known.
constexpr double long_observed_ms = 2000;
/// Without a finished statement for this long, the servers or the primary may be failing; a full queue of the
/// slowest statements takes less time.
constexpr milliseconds stall_after{300};
/// A failed primary is replaced within this time.
constexpr milliseconds stall_until{2500};
/// What was observed longer ago than this says nothing about the servers now.
constexpr milliseconds max_age{5000};

} // namespace

drain_rate after_time(const drain_rate& rate, time_point now, bool were_waiting, bool is_paused)
{
    drain_rate next = rate;
    next.observed_at = now;
    if (!were_waiting || is_paused) {
        const bool is_outdated = !is_paused && now - rate.observed_at > max_age;
        next = is_outdated ? drain_rate{} : next;
        next.observed_at = next.finished_at = now;
        return next;
    }
    const time_point begin = rate.observed_at;
    const auto length = [](time_point from, time_point to) { return std::max(to - from, milliseconds{0}); };
    const milliseconds before_stall = length(begin, std::min(now, rate.finished_at + stall_after));
    const milliseconds after_stall = length(std::max(begin, rate.finished_at + stall_until), now);
    const auto added = static_cast<double>((before_stall + after_stall).count());
    const double kept = std::exp(-added / memory_ms);
    next.finished = rate.finished * kept;
    next.observed_ms = rate.observed_ms * kept + added;
    return next;
}

drain_rate after_finished_statement(const drain_rate& rate, time_point now)
{
    drain_rate next = rate;
    next.finished += 1;
    next.finished_at = now;
    return next;
}

std::optional<double> per_second(const drain_rate& rate)
{
    const bool is_known = rate.observed_ms >= long_observed_ms ||
                          (rate.observed_ms >= min_observed_ms && rate.finished >= min_finished);
    if (!is_known) {
        return std::nullopt;
    }
    return rate.finished / rate.observed_ms * 1000;
}

} // namespace hickorymount::sessions
