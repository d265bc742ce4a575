#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace hickorymount {

/// Monotonic clock of the local host in milliseconds, including the time for which the host is suspended.
/// Readings of different hosts can't be compared.
struct millisecond_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<millisecond_clock>;
    static constexpr bool is_steady = true;

    /// Returns the current time; never decreases.
    static time_point now();
};

using milliseconds = millisecond_clock::duration;
using time_point = millisecond_clock::time_point;

/// Milliseconds since the Unix epoch, for records that several hosts compare.
using unix_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

/// Returns the wall-clock time of the local host.
unix_milliseconds unix_now();

} // namespace hickorymount
