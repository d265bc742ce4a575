#pragma once

#include "base/millisecond_clock.h"

namespace hickorymount::sessions {

/// The share of the statements of a group that this host sends to servers or relays elsewhere, because those
/// nearby are too few.
struct zone_overflow
{
    double share = 0;
    /// The part of a statement that is still to leave; a statement leaves when it reaches 1.
    double credit = 0;
    /// Moving average of the wait in this host's queue.
    double waited_ms = 0;
    time_point adjusted_at{};
    double reported_share = 0;
    time_point reported_at{};

    friend bool operator==(const zone_overflow&, const zone_overflow&) = default;
};

} // namespace hickorymount::sessions
