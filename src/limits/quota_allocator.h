#pragma once

#include "directory/types.h"
#include "limits/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hickorymount::limits {

using directory::entry_process_id;

/// What control requires to divide one customer's limit.
struct division_terms
{
    operation_limit limit;
    limit_bounds bounds;
    /// Number of entry hosts that may use an allowance.
    std::uint32_t entry_hosts = 0;
};

/// Divides the operations of each customer among the entry hosts. At no time is the sum of the quotas that
/// hosts hold, or may still receive, larger than the limit; a quota is raised only from what no host holds.
/// Since operations started within the last window count as held, the bound holds in every sliding window.
class quota_allocator
{
public:
    /// Starts a new leadership. The quotas of `admitted` processes are unknown until each was heard.
    void start_leading(const std::vector<entry_process_id>& admitted, milliseconds window, time_point now);

    /// Records what the process reports. Grants up to `granted_sequence` have reached it or never will.
    void record_request(const entry_process_id& entry, const customer_demands& demands,
                        std::uint64_t granted_sequence, milliseconds window, time_point now);

    /// Returns the quota for the process, and records it as granted with `sequence`.
    operation_count grant(const entry_process_id& entry, const customer_name& customer,
                          const division_terms& terms, std::uint64_t sequence, time_point now);

    /// The process has ended or has released its lease. What it started stays counted for one window.
    void end_process(const entry_process_id& entry, milliseconds window, time_point now);

    /// Ends the processes that were replaced by a newer one of the same host.
    void end_older_processes(const entry_process_id& newest, milliseconds window, time_point now);

    /// The part of each customer's operations that processes may have started of which this leader does not
    /// know. It grows with the number of these processes, and falls to 0 within the window after their end.
    [[nodiscard]] double unknown_part(milliseconds window, time_point now) const;

    /// Sum of what all processes may hold.
    [[nodiscard]] operation_count held(const customer_name& customer) const;

    friend bool operator==(const quota_allocator&, const quota_allocator&) = default;

private:
    struct holding
    {
        customer_demand reported;
        /// Largest quota of the grants that the process has not confirmed, and the last of them.
        operation_count granted = 0;
        std::uint64_t granted_sequence = 0;

        [[nodiscard]] operation_count counted() const { return std::max(reported.held, granted); }

        friend bool operator==(const holding&, const holding&) = default;
    };

    /// One customer's operations, with sums over the processes.
    struct customer_pool
    {
        std::map<entry_process_id, holding> holdings;
        std::uint64_t counted = 0;
        std::uint64_t wanted = 0;
        std::uint64_t used = 0;
        /// Operations beyond the limit without its tolerance that may still be allocated, for hosts that hold
        /// more than they use: a token bucket, refilled at that limit and drained by what all hosts start.
        std::optional<double> surplus;
        time_point surplus_at{};

        friend bool operator==(const customer_pool&, const customer_pool&) = default;
    };

    struct process
    {
        /// When nothing of the process counts any longer.
        time_point counted_until{};
        time_point heard_at{};
        std::set<customer_name> customers;

        friend bool operator==(const process&, const process&) = default;
    };

    static void add(customer_pool& pool, const holding& added);
    static void remove(customer_pool& pool, const holding& removed);
    static void update_surplus(customer_pool& pool, const division_terms& terms, double maximum,
                               time_point now);
    /// A process that has ended uses nothing more of its quotas; what it has started still counts.
    void release_unused(const entry_process_id& entry, const process& ended);
    /// The process holds what it holds, but gets none of what the others could use.
    void clear_wanted(const entry_process_id& entry, const process& silent);
    void forget(const entry_process_id& entry);
    void forget_expired(time_point now);

    std::map<customer_name, customer_pool> m_pools;
    std::map<entry_process_id, process> m_processes;
    /// Processes whose quotas are unknown to this leader, and when nothing of them counts any longer.
    std::map<entry_process_id, time_point> m_unheard;
    /// Number of processes that were admitted when this leader was elected.
    std::size_t m_admitted = 0;
};

} // namespace hickorymount::limits
