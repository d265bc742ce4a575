#pragma once

#include "base/millisecond_clock.h"

namespace hickorymount::sessions {

/// Limits the retries that this host makes for one customer on its own. When servers refuse most statements,
/// unlimited retries multiply the load that makes them refuse.
struct retry_budget
{
    double available = 10;
    time_point refilled_at{};

    friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

/// Adds a fifth of a retry. Servers refuse 8.5% of the statements in the heaviest load measured.
retry_budget after_first_attempt(const retry_budget& budget, time_point now);
bool allows_retry(const retry_budget& budget, time_point now);
/// Takes one retry, if there is one.
retry_budget after_retry(const retry_budget& budget, time_point now);

} // namespace hickorymount::sessions
