#include "sessions/internal/position_samples.h"

#include <algorithm>

namespace hickorymount::sessions::detail {

namespace {

/// Minimum time between two samples; closer ones add little information.
constexpr milliseconds sample_spacing{20};
constexpr milliseconds sample_lifetime{10'000};

} // namespace

void add_sample(std::deque<position_sample>& samples, const position_sample& sample, time_point now)
{
    while (!samples.empty() && now - samples.front().sent_at > sample_lifetime) {
        samples.pop_front();
    }
    if (!samples.empty() && sample.sent_at - samples.back().sent_at < sample_spacing) {
        return;
    }
    samples.push_back(sample);
}

std::optional<group_position> position_covering(const std::deque<position_sample>& samples, time_point time)
{
    const auto covering = std::find_if(samples.begin(), samples.end(),
                                       [&](const position_sample& each) { return each.sent_at >= time; });
    if (covering == samples.end()) {
        return std::nullopt;
    }
    return covering->position;
}

} // namespace hickorymount::sessions::detail
