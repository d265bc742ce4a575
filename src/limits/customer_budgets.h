#pragma once

#include "limits/operation_budget.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace hickorymount::limits {

/// The budgets of one entry host for all customers with a limit.
class customer_budgets
{
public:
    /// Applies the limits of the configuration in force, and the quotas if a newer grant has arrived. Returns
    /// true if a quota has changed.
    bool update(const limit_bounds& bounds, const configuration::versioned_configuration& configuration,
                const host_quotas& quotas);

    /// Starts an operation. Returns nothing if it may run; otherwise the time after which to retry.
    [[nodiscard]] std::optional<milliseconds> take(const customer_name& customer, time_point now);

    /// Starts the operation of an earlier request that could not start then. False if it still can't.
    [[nodiscard]] bool start(const customer_name& customer, time_point now);

    /// Time after which an operation may start again, unless others take it first.
    [[nodiscard]] milliseconds retry_after(const customer_name& customer, time_point now) const;

    /// True if control may grant a larger quota soon: the host has used up what it holds of the customer, and
    /// no grant has yet answered a report of that demand.
    [[nodiscard]] bool may_get_quota(const customer_name& customer, time_point now) const;

    /// True if control should be asked for a larger quota before the next renewal: the customer has hardly
    /// any operation left, and control does not know of the demand.
    [[nodiscard]] bool needs_quota(const customer_name& customer, time_point now) const;

    /// What is reported to control: customers with an open session, with recent requests or with a quota.
    [[nodiscard]] customer_demands report(const std::set<customer_name>& with_sessions, time_point now);

    [[nodiscard]] bool has_limit(const customer_name& customer) const { return m_limits.contains(customer); }
    /// True if control was told of the customer in the last report.
    [[nodiscard]] bool is_reported(const customer_name& customer) const
    {
        return m_reported.contains(customer);
    }
    [[nodiscard]] bool empty() const { return m_limits.empty(); }

    friend bool operator==(const customer_budgets&, const customer_budgets&) = default;

private:
    struct customer_limit
    {
        operation_count operations_per_window = 0;
        operation_count allowance = 0;

        friend bool operator==(const customer_limit&, const customer_limit&) = default;
    };

    void update_limits(const configuration::configuration& content);
    operation_budget& budget_of(const customer_name& customer);

    limit_bounds m_bounds;
    configuration::configuration_version m_version = 0;
    std::uint32_t m_entry_hosts = 0;
    std::uint64_t m_quota_sequence = 0;
    /// The customers with a limit, and their limits.
    std::map<customer_name, customer_limit> m_limits;
    /// Only customers that have been requested or granted a quota.
    std::map<customer_name, operation_budget> m_budgets;
    /// What was reported to control last.
    customer_demands m_reported;
    /// The last reports and their times, the oldest first; it is the one that the last grant answered.
    std::deque<std::pair<time_point, customer_demands>> m_reports;
};

} // namespace hickorymount::limits
