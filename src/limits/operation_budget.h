#pragma once

#include "limits/types.h"

#include <deque>

namespace hickorymount::limits {

/// The operations that one entry host may start for one customer. In any window it starts at most its quota
/// and its allowance; within a window a token bucket spreads them, so that a customer above its limit is
/// served evenly and not at the start of each window only.
class operation_budget
{
public:
    operation_budget() = default;
    explicit operation_budget(milliseconds window) : m_window(window) {}

    /// Sets the quota of a new grant, together with the limit that is in force at this host.
    void set_quota(operation_count quota, time_point valid_until, operation_count operations_per_window);
    /// Applies a changed limit; a lower one reduces the quota in proportion until the next grant.
    void set_limit(operation_count operations_per_window, operation_count allowance);

    /// Records a request for an operation, and starts the operation if that stays within the budget.
    bool take(time_point now);
    /// Starts the operation of an earlier request, if that stays within the budget.
    bool start(time_point now);
    /// Time after which an operation may be started again, unless others take it first.
    [[nodiscard]] milliseconds retry_after(time_point now) const;
    /// Operations that may still start now.
    [[nodiscard]] operation_count available(time_point now) const;

    /// Operations in a window that this host could use, judging by the recent requests.
    [[nodiscard]] operation_count wanted(time_point now) const;
    [[nodiscard]] customer_demand demand(time_point now) const;
    [[nodiscard]] bool has_recent_requests(time_point now) const;
    /// Neither requests nor operations nor a quota to report.
    [[nodiscard]] bool is_idle(time_point now) const;

    friend bool operator==(const operation_budget&, const operation_budget&) = default;

private:
    /// Operations that started at nearly the same time.
    struct started_operations
    {
        /// First time at which they are in no window with a new operation.
        time_point counted_until{};
        operation_count count = 0;

        friend bool operator==(const started_operations&, const started_operations&) = default;
    };

    [[nodiscard]] operation_count quota(time_point now) const;
    [[nodiscard]] operation_count used(time_point now) const;
    [[nodiscard]] double pace_tokens(time_point now) const;
    [[nodiscard]] double requests_per_second(time_point now) const;

    milliseconds m_window{1000};
    operation_count m_quota = 0;
    time_point m_quota_valid_until{};
    /// The limit for which the quota was granted, and the one in force.
    operation_count m_granted_limit = 0;
    operation_count m_limit = 0;
    operation_count m_allowance = 0;
    std::deque<started_operations> m_started;
    double m_pace_tokens = 0;
    time_point m_paced_at{};
    /// Exponentially decaying average of the requests.
    double m_requests_per_second = 0;
    time_point m_requested_at{};
};

} // namespace hickorymount::limits
