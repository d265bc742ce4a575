#include "sessions/internal/zone_overflow.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::sessions::detail {

namespace {

constexpr milliseconds adjustment_interval{50};
/// After a pause the time since the last adjustment counts up to this.
constexpr milliseconds longest_adjustment{200};
/// Change of the share for each second in which one side costs nothing against the other. A burst lasts for a
/// few seconds, a change shows in the response times after about 0.3 s.
constexpr double rise_per_second = 1.5;
constexpr double fall_per_second = 1;
/// The share falls at least like this while the other side is full as well.
constexpr double full_elsewhere = -0.5;
/// Differences below this part of the cost are noise.
constexpr double insignificant_difference = 0.05;
/// A statement that has waited for this long leaves if the other side has at least this much to spare.
constexpr double longest_wait_ms = 150;
constexpr double ample_spare = 0.5;
/// Weight of the newest wait in its moving average.
constexpr double wait_weight = 0.2;
/// A change of the share by this much is reported.
constexpr double notable_change = 0.2;
constexpr milliseconds shortest_report_interval{1000};

} // namespace

zone_load load_of(const std::vector<read_candidate>& servers, bool is_far)
{
    zone_load load;
    const double service = lowest_service_ms(servers);
    for (const read_candidate& server : servers) {
        if (server.is_far != is_far) {
            continue;
        }
        const double cost = measured_cost_ms(server);
        load.cost_ms = load.is_usable ? std::min(load.cost_ms, cost) : cost;
        load.is_usable = true;
        load.spare = server.has_capacity ? std::max(load.spare, spare_share(server, service)) : load.spare;
        load.has_capacity = load.has_capacity || server.has_capacity;
        load.has_free_slot = load.has_free_slot ||
                             (server.has_capacity && !server.is_avoided && has_free_slot(server, service));
    }
    return load;
}

zone_overflow adjust(const zone_overflow& overflow, const zone_load& nearby, const zone_load& elsewhere,
                     double waited_ms, time_point now)
{
    const milliseconds elapsed = now - overflow.adjusted_at;
    if (elapsed < adjustment_interval || !nearby.is_usable || !elsewhere.is_usable) {
        return overflow;
    }
    const double seconds = static_cast<double>(std::min(elapsed, longest_adjustment).count()) / 1000;
    const double nearby_ms = nearby.cost_ms + elsewhere.spare * waited_ms;
    const double sum = nearby_ms + elsewhere.cost_ms;
    const double difference = sum > 0 ? (nearby_ms - elsewhere.cost_ms) / sum : 0;
    const double advantage = nearby.has_free_slot   ? -1
                             : elsewhere.spare == 0 ? std::min(difference, full_elsewhere)
                                                    : difference;
    zone_overflow next = overflow;
    next.adjusted_at = now;
    if (std::abs(advantage) > insignificant_difference) {
        const double speed = advantage > 0 ? rise_per_second : fall_per_second;
        next.share = std::clamp(next.share + speed * advantage * seconds, 0.0, 1.0);
    }
    return next;
}

bool leaves(const zone_overflow& overflow, const zone_load& nearby, const zone_load& elsewhere,
            double waited_ms)
{
    if (!nearby.is_usable) {
        return true;
    }
    if (nearby.has_free_slot || !elsewhere.has_capacity) {
        return false;
    }
    return overflow.credit + overflow.share >= 1 ||
           (waited_ms >= longest_wait_ms && elsewhere.spare >= ample_spare);
}

zone_overflow after_sending(const zone_overflow& overflow, bool has_left, double waited_ms)
{
    zone_overflow next = overflow;
    next.credit = std::clamp(next.credit + next.share - (has_left ? 1 : 0), 0.0, 1.0);
    next.waited_ms += wait_weight * (waited_ms - next.waited_ms);
    return next;
}

bool is_report_due(const zone_overflow& overflow, time_point now)
{
    const bool is_over = overflow.share == 0 && overflow.reported_share != 0;
    return (is_over || std::abs(overflow.share - overflow.reported_share) >= notable_change) &&
           now - overflow.reported_at >= shortest_report_interval;
}

} // namespace hickorymount::sessions::detail
