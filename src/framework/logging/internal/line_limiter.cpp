#include "logging/internal/line_limiter.h"

#include <algorithm>

namespace hickorymount::logging::detail {

namespace {

constexpr double lines_per_second = 60;
/// Lines that may be written at once after a quiet time.
constexpr double burst_lines = 300;
/// Lines that requests leave to others.
constexpr double reserved_lines = 60;

} // namespace

line_limiter::line_limiter(time_point now) : m_available_lines(burst_lines), m_refilled_at(now) {}

bool line_limiter::take(bool is_about_request, time_point now)
{
    constexpr double milliseconds_in_second = 1000;
    const auto elapsed_ms = static_cast<double>((now - m_refilled_at).count());
    m_refilled_at = now;
    m_available_lines =
        std::min(burst_lines, m_available_lines + elapsed_ms * lines_per_second / milliseconds_in_second);
    const double needed = is_about_request ? reserved_lines + 1 : 1;
    if (m_available_lines < needed) {
        return false;
    }
    m_available_lines -= 1;
    return true;
}

} // namespace hickorymount::logging::detail
