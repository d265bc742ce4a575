#include "base/millisecond_clock.h"

#include <ctime>

namespace hickorymount {

time_point millisecond_clock::now()
{
    // CLOCK_BOOTTIME includes the time for which the host is suspended: a lease must also expire during it.
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    const auto since_boot = std::chrono::seconds{reading.tv_sec} + std::chrono::nanoseconds{reading.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

unix_milliseconds unix_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<unix_milliseconds>(since_epoch);
}

} // namespace hickorymount
