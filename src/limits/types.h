#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "configuration/types.h"

#include <cstdint>
#include <map>

/// Limits on the operations of each customer, over all entry hosts. Control divides the operations that a
/// customer may start in one window among the entry hosts; each host counts its own.
namespace hickorymount::limits {

using configuration::operation_limit;

/// A number of operations within one window.
using operation_count = std::uint32_t;

/// A quota may be used for this long after the entry host has sent the request that it was granted for: the
/// lease of 2 s and 3 s more, so that 4 s without control stop no service.
inline constexpr milliseconds quota_duration{5000};
/// Subtracted from the duration at the entry host, since the clock rate of each host may be off by 1%.
inline constexpr milliseconds quota_drift_margin{100};

/// The tolerances of the limits, from the settings of a host.
struct limit_bounds
{
    milliseconds window{1000};
    /// Share by which the operations in a window may exceed the limit, such as 0.1.
    double overage = 0;
    /// Operations in a window beyond that.
    double slack = 0;

    friend bool operator==(const limit_bounds&, const limit_bounds&) = default;
};

/// Largest number of operations that may start in any window, over all entry hosts.
operation_count operations_per_window(const operation_limit& limit, const limit_bounds& bounds);

/// Operations that each entry host may start in any window in addition to its quota, without asking control.
/// All hosts together use at most the overage and the slack for them. Zero if the number of hosts is unknown.
operation_count allowance_per_host(const operation_limit& limit, const limit_bounds& bounds,
                                   std::uint32_t entry_hosts);

/// What one entry host reports about one customer.
struct customer_demand
{
    /// Operations in a window that the host could use, from the recent requests including the refused ones.
    operation_count wanted = 0;
    /// Operations started within the last window.
    operation_count used = 0;
    /// Quota that the host may be using. Operations started within the last window count as held.
    operation_count held = 0;

    friend bool operator==(const customer_demand&, const customer_demand&) = default;
};

using customer_demands = std::map<customer_name, customer_demand>;
using customer_quotas = std::map<customer_name, operation_count>;

/// The quotas of one entry host, as control granted them last.
struct host_quotas
{
    /// Sequence number of the grant.
    std::uint64_t sequence = 0;
    time_point valid_until{};
    /// Number of entry hosts that may use an allowance; zero if unknown.
    std::uint32_t entry_hosts = 0;
    customer_quotas operations;

    friend bool operator==(const host_quotas&, const host_quotas&) = default;
};

/// The quotas after a grant for a request that was sent at `sent_at`. If control may have heard a later
/// request without knowing of this grant (`may_raise` is false), the grant lowers quotas and prolongs them
/// only.
host_quotas with_grant(const host_quotas& current, host_quotas granted, time_point sent_at, bool may_raise);

/// Adds the quotas that the traffic thread does not use yet to what it has reported.
customer_demands with_held(customer_demands reported, const host_quotas& quotas, time_point now);

} // namespace hickorymount::limits
