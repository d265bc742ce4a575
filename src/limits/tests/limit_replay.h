#pragma once

#include "limits/customer_budgets.h"
#include "limits/quota_allocator.h"
#include "limits/renewal_pace.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hickorymount::limits {

/// Replays the demand of many customers at many entry hosts through the budgets and the allocator, with the
/// messages between them delayed, and counts what is started and refused. The time advances in steps of 10
/// ms.
class limit_replay
{
public:
    limit_replay(int host_count, int customer_count, double operations_per_second, std::uint32_t seed);

    /// Runs for a time. The bound is checked for each operation that starts.
    void run(milliseconds duration);

    void set_demand_factor(int customer, double factor) { m_customers.at(customer).demand_factor = factor; }
    /// Changes the limit at control and at all hosts.
    void set_limit_factor(int customer, double factor);
    void move_callers(int customer, int first_host, int host_count);
    void set_connected(int host, bool is_connected) { m_hosts.at(host).is_connected = is_connected; }
    void set_control_available(bool is_available) { m_is_control_available = is_available; }
    void change_leader();
    void kill(int host) { m_hosts.at(host).is_up = false; }
    void restart(int host);
    /// The host returns its lease and ends.
    void stop(int host);

    /// Sets the counters back.
    void reset_counts();
    [[nodiscard]] std::uint64_t requested(int customer) const { return m_customers.at(customer).requested; }
    [[nodiscard]] std::uint64_t started(int customer) const { return m_customers.at(customer).started; }
    [[nodiscard]] double refused_share() const;
    [[nodiscard]] double refused_share(int customer) const;
    /// Operations that exceeded the bound of some window.
    [[nodiscard]] std::uint64_t excess() const { return m_excess; }
    [[nodiscard]] double limit_rate(int customer) const;
    [[nodiscard]] operation_count operations_per_window(int customer) const;
    [[nodiscard]] std::uint64_t renewals() const { return m_renewals; }
    [[nodiscard]] time_point now() const { return m_now; }

private:
    struct customer_state
    {
        customer_name name;
        double usual_rate = 0;
        double demand_factor = 1;
        double phase = 0;
        std::vector<int> session_hosts;
        std::deque<time_point> window;
        std::uint64_t requested = 0;
        std::uint64_t started = 0;
        /// The bound of a higher limit holds for one window after a change.
        time_point bound_changed_at{};
        operation_count earlier_bound = 0;
    };

    struct host_state
    {
        entry_process_id process;
        bool is_up = true;
        bool is_connected = true;
        customer_budgets budgets;
        host_quotas quotas;
        customer_demands reported;
        std::uint64_t next_sequence = 1;
        std::uint64_t granted_sequence = 0;
        /// Requests since the last change of the leader may raise quotas.
        std::uint64_t leader_since = 1;
        std::map<std::uint64_t, time_point> sent;
        time_point renew_at{};
        time_point last_request_at{};
        renewal_pace quota_renewals;
        std::map<customer_name, int> sessions;
    };

    struct delivery
    {
        time_point at{};
        std::function<void()> action;
    };

    void start_operations();
    void request_operation(customer_state& customer, host_state& host);
    void renew(int index);
    void receive(const entry_process_id& process, const customer_demands& demands, std::uint64_t sequence,
                 std::uint64_t granted_sequence, int index);
    void receive(int index, const entry_process_id& process, const host_quotas& granted);
    void place_callers(customer_state& customer, int first_host, int host_count, std::size_t sessions);
    [[nodiscard]] limits::operation_limit limit_of(int customer) const;

    limit_bounds m_bounds{milliseconds{5000}, 0.1, 20};
    std::mt19937 m_random;
    time_point m_now{};
    configuration::versioned_configuration m_configuration;
    std::vector<customer_state> m_customers;
    std::vector<host_state> m_hosts;
    std::vector<double> m_host_weights;
    quota_allocator m_allocator;
    std::uint64_t m_leader = 1;
    bool m_is_control_available = true;
    std::deque<delivery> m_deliveries;
    std::uint64_t m_excess = 0;
    std::uint64_t m_renewals = 0;
    int m_next_incarnation = 1;
};

} // namespace hickorymount::limits
