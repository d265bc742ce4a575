#include "limits/operation_budget.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::limits {

namespace {

/// Operations are counted in this many intervals of a window, which bounds the memory of a budget.
constexpr std::int64_t intervals_per_window = 100;
/// Time constant of the average of the requests: shares follow the demand within about a second.
constexpr double averaging_seconds = 1.0;
/// A quota has to cover the requests expected until the next grant has surely arrived.
constexpr double renewal_seconds = 0.5;
/// Operations that a host holds in advance, for requests that coincide. With 1.5, 1.1% of the requests were
/// refused in calm, with 2 0.8%, with 3 0.7%; more would be held by hosts that end.
constexpr double min_headroom = 3;
/// The token bucket holds this part of the operations of a window, and at least `min_pace_capacity`: hosts
/// with few requests need the whole quota for requests that coincide.
constexpr double pace_capacity_part = 0.25;
constexpr double min_pace_capacity = 6;
/// Below this rate there have been no requests for a few seconds.
constexpr double idle_requests_per_second = 0.02;
constexpr milliseconds min_retry_after{10};
/// Control answers a request for a quota within this time.
constexpr milliseconds quota_retry_after{300};

double seconds(milliseconds duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

double pace_capacity(operation_count limit)
{
    return std::max(min_pace_capacity, pace_capacity_part * limit);
}

} // namespace

void operation_budget::set_quota(operation_count quota, time_point valid_until,
                                 operation_count operations_per_window)
{
    m_quota = quota;
    m_quota_valid_until = valid_until;
    m_granted_limit = m_limit = operations_per_window;
}

void operation_budget::set_limit(operation_count operations_per_window, operation_count allowance)
{
    m_limit = operations_per_window;
    m_allowance = allowance;
}

bool operation_budget::take(time_point now)
{
    m_requests_per_second = requests_per_second(now) + 1 / averaging_seconds;
    m_requested_at = now;
    return start(now);
}

bool operation_budget::start(time_point now)
{
    m_pace_tokens = pace_tokens(now);
    m_paced_at = now;
    while (!m_started.empty() && m_started.front().counted_until <= now) {
        m_started.pop_front();
    }
    if (available(now) == 0) {
        return false;
    }
    m_pace_tokens -= 1;
    const milliseconds interval = std::max(milliseconds{1}, m_window / intervals_per_window);
    const auto since_start = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    const time_point interval_end = now + interval - since_start % interval;
    const time_point counted_until = interval_end + m_window;
    if (m_started.empty() || m_started.back().counted_until != counted_until) {
        m_started.push_back({counted_until, 0});
    }
    ++m_started.back().count;
    return true;
}

milliseconds operation_budget::retry_after(time_point now) const
{
    const operation_count limit = quota(now) + m_allowance;
    if (limit == 0) {
        return std::min(quota_retry_after, m_window);
    }
    milliseconds wait = min_retry_after;
    if (used(now) >= limit) {
        const auto next = std::find_if(m_started.begin(), m_started.end(),
                                       [&](const auto& started) { return started.counted_until > now; });
        wait = std::max(wait, next->counted_until - now);
    }
    const double missing = 1 - pace_tokens(now);
    if (missing > 0) {
        wait = std::max(wait, milliseconds{static_cast<std::int64_t>(
                                  std::ceil(missing * static_cast<double>(m_window.count()) / limit))});
    }
    return wait;
}

operation_count operation_budget::available(time_point now) const
{
    const operation_count limit = quota(now) + m_allowance;
    const operation_count started = used(now);
    if (started >= limit) {
        return 0;
    }
    return std::min(limit - started, static_cast<operation_count>(std::max(0.0, pace_tokens(now) + 1e-9)));
}

operation_count operation_budget::wanted(time_point now) const
{
    const double rate = requests_per_second(now);
    const double until_renewal = used(now) + rate * renewal_seconds;
    // A single request says little about the rate: without the newest one the average reacts to a burst and
    // not to each request of a customer with few.
    const double in_window = std::max(0.0, rate - 1 / averaging_seconds) * seconds(m_window);
    // The root covers the random variation of the requests in a window.
    const double count =
        std::max(in_window, until_renewal) + min_headroom + std::sqrt(rate * seconds(m_window));
    return std::min(m_limit, static_cast<operation_count>(count));
}

customer_demand operation_budget::demand(time_point now) const
{
    const operation_count started = used(now);
    // The operations beyond the allowance count against the quota.
    const operation_count beyond_allowance = started > m_allowance ? started - m_allowance : 0;
    return {wanted(now), started, std::max(quota(now), beyond_allowance)};
}

bool operation_budget::has_recent_requests(time_point now) const
{
    return requests_per_second(now) >= idle_requests_per_second;
}

bool operation_budget::is_idle(time_point now) const
{
    return quota(now) == 0 && used(now) == 0 && !has_recent_requests(now);
}

operation_count operation_budget::quota(time_point now) const
{
    if (now >= m_quota_valid_until) {
        return 0;
    }
    if (m_limit >= m_granted_limit) {
        return m_quota;
    }
    return static_cast<operation_count>(std::uint64_t{m_quota} * m_limit / m_granted_limit);
}

operation_count operation_budget::used(time_point now) const
{
    operation_count count = 0;
    for (auto started = m_started.rbegin(); started != m_started.rend() && started->counted_until > now;
         ++started) {
        count += started->count;
    }
    return count;
}

double operation_budget::pace_tokens(time_point now) const
{
    const operation_count limit = quota(now) + m_allowance;
    if (m_paced_at == time_point{}) {
        return pace_capacity(limit);
    }
    // A host that has used little of its quota, such as one to which callers have just moved, may catch up.
    const operation_count left = limit - std::min(limit, used(now));
    const double refilled = seconds(now - m_paced_at) * (limit + left) / seconds(m_window);
    return std::min(m_pace_tokens + refilled, pace_capacity(limit));
}

double operation_budget::requests_per_second(time_point now) const
{
    return m_requests_per_second * std::exp(-seconds(now - m_requested_at) / averaging_seconds);
}

} // namespace hickorymount::limits
