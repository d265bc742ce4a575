#include "base/millisecond_clock.h"

namespace hickorymount {

time_point millisecond_clock::now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

unix_milliseconds unix_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<unix_milliseconds>(since_epoch);
}

} // namespace hickorymount
