#pragma once

#include "sessions/internal/read_ranking.h"
#include "sessions/zone_overflow.h"

#include <vector>

namespace hickorymount::sessions::detail {

/// What a statement meets at the servers or relays of one side: those nearby, or those elsewhere.
struct zone_load
{
    /// Expected time to the response at the best of them, including the penalty for the price of bytes.
    double cost_ms = 0;
    /// How much they could take: 1 without queueing, 0 if statements wait there for a service time.
    double spare = 0;
    /// One of them can run the statement without queueing.
    bool has_free_slot = false;
    /// One of them can run the statement at all.
    bool is_usable = false;
    /// One of them takes another statement of this host now.
    bool has_capacity = false;

    friend bool operator==(const zone_load&, const zone_load&) = default;
};

/// Combines the servers of the own region, or those of other regions if `is_far` is set.
zone_load load_of(const std::vector<read_candidate>& servers, bool is_far);

/// Moves the share that leaves towards the side with the lower cost. `waited_ms` is how long the statements
/// wait in this host's queue. It is an advantage of the other side only as far as that side can take more:
/// otherwise the statements of its own hosts would wait instead. The changes are small against the time that
/// a change takes to show, so that zones do not oscillate.
zone_overflow adjust(const zone_overflow& overflow, const zone_load& nearby, const zone_load& elsewhere,
                     double waited_ms, time_point now);
/// True if the next statement should leave. Nothing leaves while a slot nearby is free. A statement that has
/// waited for long does not wait for the share to rise while there is room elsewhere.
bool leaves(const zone_overflow& overflow, const zone_load& nearby, const zone_load& elsewhere,
            double waited_ms);
/// Records where a statement was sent, and how long it had waited.
zone_overflow after_sending(const zone_overflow& overflow, bool has_left, double waited_ms);
/// True if the share has changed notably since it was reported last, at most once a second.
bool is_report_due(const zone_overflow& overflow, time_point now);

} // namespace hickorymount::sessions::detail
