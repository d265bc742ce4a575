#include "limits/types.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hickorymount::limits {

namespace {

double window_seconds(const limit_bounds& bounds)
{
    return static_cast<double>(bounds.window.count()) / 1000;
}

operation_count to_count(double value)
{
    constexpr double maximum = std::numeric_limits<operation_count>::max() / 4.0;
    return static_cast<operation_count>(std::clamp(std::floor(value + 1e-6), 0.0, maximum));
}

bool is_zero(const operation_limit& limit)
{
    return limit.operations_per_second <= 0 && limit.burst <= 0;
}

double limit_per_window(const operation_limit& limit, const limit_bounds& bounds)
{
    return limit.operations_per_second * window_seconds(bounds) + limit.burst;
}

} // namespace

operation_count operations_per_window(const operation_limit& limit, const limit_bounds& bounds)
{
    if (is_zero(limit)) {
        return 0;
    }
    return to_count(limit_per_window(limit, bounds) * (1 + bounds.overage) + bounds.slack);
}

operation_count allowance_per_host(const operation_limit& limit, const limit_bounds& bounds,
                                   std::uint32_t entry_hosts)
{
    if (is_zero(limit) || entry_hosts == 0) {
        return 0;
    }
    return to_count((limit_per_window(limit, bounds) * bounds.overage + bounds.slack) / entry_hosts);
}

host_quotas with_grant(const host_quotas& current, host_quotas granted, time_point sent_at, bool may_raise)
{
    granted.valid_until = sent_at + quota_duration - quota_drift_margin;
    if (may_raise) {
        return granted;
    }
    customer_quotas lowered;
    for (const auto& [customer, quota] : current.operations) {
        const auto found = granted.operations.find(customer);
        if (found != granted.operations.end()) {
            lowered[customer] = std::min(quota, found->second);
        }
    }
    granted.operations = std::move(lowered);
    granted.valid_until = std::max(granted.valid_until, current.valid_until);
    return granted;
}

customer_demands with_held(customer_demands reported, const host_quotas& quotas, time_point now)
{
    if (now < quotas.valid_until) {
        for (const auto& [customer, quota] : quotas.operations) {
            customer_demand& demand = reported[customer];
            demand.held = std::max(demand.held, quota);
        }
    }
    return reported;
}

} // namespace hickorymount::limits
