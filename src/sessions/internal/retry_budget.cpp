#include "sessions/retry_budget.h"

#include <algorithm>

namespace hickorymount::sessions {

namespace {

constexpr double retries_per_attempt = 0.2;
/// Retries that accumulate in quiet times, for a loss of many statements at once.
constexpr double max_available = 100;
/// A customer with few statements has at least this many retries after a pause.
constexpr double min_after_pause = 10;
constexpr double refill_per_second = 1;

retry_budget refill(const retry_budget& budget, time_point now)
{
    const double passed_s = static_cast<double>((now - budget.refilled_at).count()) / 1000;
    const double refilled = std::min(min_after_pause, budget.available + passed_s * refill_per_second);
    return {std::max(budget.available, refilled), now};
}

} // namespace

retry_budget after_first_attempt(const retry_budget& budget, time_point now)
{
    retry_budget next = refill(budget, now);
    next.available = std::min(max_available, next.available + retries_per_attempt);
    return next;
}

bool allows_retry(const retry_budget& budget, time_point now)
{
    return refill(budget, now).available >= 1;
}

retry_budget after_retry(const retry_budget& budget, time_point now)
{
    retry_budget next = refill(budget, now);
    next.available -= next.available >= 1 ? 1 : 0;
    return next;
}

} // namespace hickorymount::sessions
