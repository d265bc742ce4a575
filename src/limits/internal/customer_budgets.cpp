#include "limits/customer_budgets.h"

#include <algorithm>

namespace hickorymount::limits {

namespace {

/// The demand has grown by a quarter and by one operation since the last report: worth a renewal.
constexpr operation_count growth_divisor = 4;
/// Reports are at least 20 ms apart, and grants arrive within some hundred milliseconds.
constexpr std::size_t max_reports = 32;

} // namespace

bool customer_budgets::update(const limit_bounds& bounds,
                              const configuration::versioned_configuration& configuration,
                              const host_quotas& quotas)
{
    if (m_bounds != bounds || m_version != configuration.version || m_entry_hosts != quotas.entry_hosts) {
        m_bounds = bounds;
        m_version = configuration.version;
        m_entry_hosts = quotas.entry_hosts;
        update_limits(configuration.content);
    }
    const bool is_new_grant = quotas.sequence != m_quota_sequence;
    if (!is_new_grant) {
        return false;
    }
    m_quota_sequence = quotas.sequence;
    const time_point answered_at = quotas.valid_until - quota_duration + quota_drift_margin;
    while (m_reports.size() > 1 && m_reports[1].first <= answered_at) {
        m_reports.pop_front();
    }
    for (auto& [name, budget] : m_budgets) {
        if (!quotas.operations.contains(name)) {
            budget.set_quota(0, quotas.valid_until, m_limits.at(name).operations_per_window);
        }
    }
    for (const auto& [name, quota] : quotas.operations) {
        if (m_limits.contains(name)) {
            budget_of(name).set_quota(quota, quotas.valid_until, m_limits.at(name).operations_per_window);
        }
    }
    return true;
}

void customer_budgets::update_limits(const configuration::configuration& content)
{
    m_limits.clear();
    if (content.identifies_customers) {
        for (const auto& [name, settings] : content.customers) {
            if (settings.limit) {
                m_limits[name] = {operations_per_window(*settings.limit, m_bounds),
                                  allowance_per_host(*settings.limit, m_bounds, m_entry_hosts)};
            }
        }
    }
    std::erase_if(m_budgets, [&](const auto& each) { return !m_limits.contains(each.first); });
    for (auto& [name, budget] : m_budgets) {
        const customer_limit& limit = m_limits.at(name);
        budget.set_limit(limit.operations_per_window, limit.allowance);
    }
}

std::optional<milliseconds> customer_budgets::take(const customer_name& customer, time_point now)
{
    if (!m_limits.contains(customer)) {
        return std::nullopt;
    }
    operation_budget& budget = budget_of(customer);
    return budget.take(now) ? std::nullopt : std::optional(budget.retry_after(now));
}

bool customer_budgets::start(const customer_name& customer, time_point now)
{
    return !m_limits.contains(customer) || budget_of(customer).start(now);
}

milliseconds customer_budgets::retry_after(const customer_name& customer, time_point now) const
{
    const auto budget = m_budgets.find(customer);
    return budget == m_budgets.end() ? milliseconds{0} : budget->second.retry_after(now);
}

bool customer_budgets::may_get_quota(const customer_name& customer, time_point now) const
{
    const auto budget = m_budgets.find(customer);
    if (budget == m_budgets.end()) {
        return false;
    }
    const customer_demand demand = budget->second.demand(now);
    operation_count known = 0;
    if (!m_reports.empty()) {
        const customer_demands& answered = m_reports.front().second;
        const auto found = answered.find(customer);
        known = found == answered.end() ? 0 : found->second.wanted;
    }
    return demand.wanted > demand.held && demand.wanted > known + known / growth_divisor;
}

bool customer_budgets::needs_quota(const customer_name& customer, time_point now) const
{
    const auto budget = m_budgets.find(customer);
    if (budget == m_budgets.end()) {
        return false;
    }
    const customer_demand demand = budget->second.demand(now);
    if (demand.wanted <= demand.held) {
        return false;
    }
    const auto reported = m_reported.find(customer);
    const operation_count known = reported == m_reported.end() ? 0 : reported->second.wanted;
    const operation_count left = budget->second.available(now);
    return left <= std::max(1U, demand.wanted / growth_divisor) &&
           demand.wanted > known + known / growth_divisor;
}

customer_demands customer_budgets::report(const std::set<customer_name>& with_sessions, time_point now)
{
    std::erase_if(m_budgets, [&](const auto& each) {
        return each.second.is_idle(now) && !with_sessions.contains(each.first);
    });
    for (const customer_name& customer : with_sessions) {
        if (m_limits.contains(customer)) {
            budget_of(customer);
        }
    }
    m_reported.clear();
    for (const auto& [name, budget] : m_budgets) {
        customer_demand demand = budget.demand(now);
        if (!budget.has_recent_requests(now) && !with_sessions.contains(name)) {
            demand.wanted = 0;
        }
        m_reported[name] = demand;
    }
    m_reports.emplace_back(now, m_reported);
    if (m_reports.size() > max_reports) {
        m_reports.pop_front();
    }
    return m_reported;
}

operation_budget& customer_budgets::budget_of(const customer_name& customer)
{
    const auto [found, is_new] = m_budgets.try_emplace(customer, m_bounds.window);
    if (is_new) {
        const customer_limit& limit = m_limits.at(customer);
        found->second.set_limit(limit.operations_per_window, limit.allowance);
    }
    return found->second;
}

} // namespace hickorymount::limits
