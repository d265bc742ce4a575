#include "limits/renewal_pace.h"

#include <algorithm>

namespace hickorymount::limits {

namespace {

constexpr double renewals_per_second = 3;
constexpr double max_tokens = 4;
constexpr milliseconds min_interval{100};

} // namespace

time_point renewal_pace::advance(time_point renew_at, time_point now, time_point last_request_at)
{
    const time_point earliest = std::max(now, last_request_at + min_interval);
    if (renew_at <= earliest) {
        return renew_at;
    }
    const double elapsed_seconds = static_cast<double>((now - m_refilled_at).count()) / 1000;
    m_tokens = std::min(max_tokens, m_tokens + elapsed_seconds * renewals_per_second);
    m_refilled_at = now;
    if (m_tokens < 1) {
        return renew_at;
    }
    m_tokens -= 1;
    return earliest;
}

} // namespace hickorymount::limits
