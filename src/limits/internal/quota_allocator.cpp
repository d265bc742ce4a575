#include "limits/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::limits {

namespace {

/// Part of the operations that stays unallocated for hosts where a customer newly appears.
constexpr double reserved_part = 0.1;
/// Each host gets up to this multiple of what it wants while the limit allows it, so that waves of demand
/// need no renewal. More would be missing where hosts end and their callers move.
constexpr double max_spread = 1.1;
/// Below this part of free operations the customer is overloaded, and the limit is divided by what hosts want
/// and not by what they use, so that no host keeps what it has only because it had it.
constexpr double min_free_part = 0.15;
/// A fraction of an operation is rounded up while at least this many operations are free.
constexpr operation_count min_free_for_remainder = 2;
/// A process that has sent no request for this long has missed several renewals.
constexpr milliseconds silence_limit{1500};
/// Part of its quota that a process may have started between its last report, at most 0.4 s before its end,
/// and its end: what the token bucket of a budget holds, and what is added to it meanwhile.
constexpr double unreported_part = 0.25 + 0.16;
/// A process that a new leader has not heard is taken to hold this many times its even share of each limit.
/// Callers are spread over the hosts by a hash, so that the shares of several hosts together differ less than
/// that.
constexpr double unknown_factor = 3;
/// Longest time for which one report of the used operations is taken to hold.
constexpr milliseconds max_surplus_interval{1000};

double seconds(milliseconds duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

operation_count target_of(const customer_demand& own, std::uint64_t wanted_by_all, std::uint64_t used_by_all,
                          operation_count unreserved)
{
    if (own.wanted == 0) {
        return 0;
    }
    if (wanted_by_all <= unreserved) {
        const double spread =
            std::min(max_spread, static_cast<double>(unreserved) / static_cast<double>(wanted_by_all));
        return static_cast<operation_count>(own.wanted * spread);
    }
    const double free = unreserved - static_cast<double>(used_by_all);
    if (free >= unreserved * min_free_part && own.wanted > own.used) {
        // All have what they use; what is left goes to those that want more.
        const auto wanted_more_by_all =
            static_cast<double>(wanted_by_all - std::min(wanted_by_all, used_by_all));
        const double part = std::min(1.0, free / std::max(1.0, wanted_more_by_all));
        // A host that is in use gets at least two: another request often comes before the next grant.
        const operation_count least = own.used > 0 ? 2 : 1;
        return own.used + std::max(least, static_cast<operation_count>((own.wanted - own.used) * part));
    }
    const double part = static_cast<double>(unreserved) / static_cast<double>(wanted_by_all);
    return std::max(1U, static_cast<operation_count>(own.wanted * part));
}

/// Operations in a window without the tolerance; a customer may start as many in each one.
double sustained_operations(const division_terms& terms)
{
    return terms.limit.operations_per_second * seconds(terms.bounds.window) + terms.limit.burst;
}

operation_count difference(std::uint64_t from, std::uint64_t subtracted)
{
    return from > subtracted ? static_cast<operation_count>(from - subtracted) : 0;
}

} // namespace

void quota_allocator::start_leading(const std::vector<entry_process_id>& admitted, milliseconds window,
                                    time_point now)
{
    *this = {};
    m_admitted = admitted.size();
    for (const entry_process_id& entry : admitted) {
        m_unheard[entry] = now + quota_duration + window;
    }
}

void quota_allocator::record_request(const entry_process_id& entry, const customer_demands& demands,
                                     std::uint64_t granted_sequence, milliseconds window, time_point now)
{
    forget_expired(now);
    m_unheard.erase(entry);
    end_older_processes(entry, window, now);
    if (demands.empty() && !m_processes.contains(entry)) {
        return;
    }
    process& sender = m_processes[entry];
    sender.counted_until = now + quota_duration + window;
    sender.heard_at = now;
    for (const auto& [customer, demand] : demands) {
        sender.customers.insert(customer);
    }
    for (auto each = sender.customers.begin(); each != sender.customers.end();) {
        customer_pool& pool = m_pools[*each];
        holding& known = pool.holdings[entry];
        remove(pool, known);
        const auto demand = demands.find(*each);
        known.reported = demand == demands.end() ? customer_demand{} : demand->second;
        if (granted_sequence >= known.granted_sequence) {
            known.granted = 0;
        }
        add(pool, known);
        if (demand == demands.end() && known.granted == 0) {
            pool.holdings.erase(entry);
            if (pool.holdings.empty()) {
                m_pools.erase(*each);
            }
            each = sender.customers.erase(each);
        } else {
            ++each;
        }
    }
}

operation_count quota_allocator::grant(const entry_process_id& entry, const customer_name& customer,
                                       const division_terms& terms, std::uint64_t sequence, time_point now)
{
    const auto found = m_pools.find(customer);
    if (found == m_pools.end() || !found->second.holdings.contains(entry)) {
        return 0;
    }
    customer_pool& pool = found->second;
    holding& own = pool.holdings.at(entry);
    const operation_count limit = operations_per_window(terms.limit, terms.bounds);
    const std::uint64_t allowances =
        std::uint64_t{allowance_per_host(terms.limit, terms.bounds, terms.entry_hosts)} * terms.entry_hosts;
    const double maximum = difference(limit, allowances);
    update_surplus(pool, terms, maximum, now);
    const double unknown = unknown_part(terms.bounds.window, now);
    const auto allocatable = static_cast<operation_count>(
        std::min(maximum * (1 - unknown), std::ceil(sustained_operations(terms) + *pool.surplus)));
    const auto unreserved = static_cast<operation_count>(std::ceil(allocatable * (1 - reserved_part)));

    const std::uint64_t others = pool.counted - own.counted();
    const operation_count wanted = own.reported.wanted;
    const operation_count held = own.reported.held;
    operation_count target = target_of(own.reported, pool.wanted, pool.used, unreserved);
    const std::uint64_t free = difference(unreserved, others);
    const bool gets_remainder = target < wanted && free >= target + min_free_for_remainder;
    target += gets_remainder ? 1 : 0;
    // A host with at most one operation left may use the reserve.
    const bool is_newcomer = held <= own.reported.used + 1;
    operation_count available = difference(is_newcomer ? allocatable : unreserved, others);
    if (unknown > 0) {
        // What is unknown may be nothing, so that nobody has to give up anything for it.
        target = unknown < 1 ? std::max(target, held) : held;
        available = unknown < 1 ? available : 0;
    }
    // A host keeps what it holds up to its target also while all together hold too much: the others give up
    // what exceeds their own targets.
    operation_count quota = std::min(target, std::max(available, std::min(held, target)));
    if (others + quota > limit) {
        quota = std::min<operation_count>(
            quota, static_cast<operation_count>(std::uint64_t{held} * limit /
                                                std::max<std::uint64_t>(1, others + held)));
    }
    remove(pool, own);
    own.granted = own.granted_sequence != 0 && own.granted > 0 ? std::max(own.granted, quota) : quota;
    own.granted_sequence = sequence;
    add(pool, own);
    return quota;
}

void quota_allocator::end_process(const entry_process_id& entry, milliseconds window, time_point now)
{
    if (const auto known = m_processes.find(entry); known != m_processes.end()) {
        known->second.counted_until = std::min(known->second.counted_until, now + window);
        clear_wanted(entry, known->second);
        release_unused(entry, known->second);
    }
    if (const auto unheard = m_unheard.find(entry); unheard != m_unheard.end()) {
        unheard->second = std::min(unheard->second, now + window);
    }
}

double quota_allocator::unknown_part(milliseconds window, time_point now) const
{
    double unknown = 0;
    for (const auto& [entry, counted_until] : m_unheard) {
        // Operations are spread over the window, so that part of those of an ended process has left it
        // already.
        unknown += std::clamp(seconds(counted_until - now) / seconds(window), 0.0, 1.0);
    }
    return m_admitted == 0 ? 0 : std::min(1.0, unknown_factor * unknown / static_cast<double>(m_admitted));
}

void quota_allocator::release_unused(const entry_process_id& entry, const process& ended)
{
    for (const customer_name& customer : ended.customers) {
        customer_pool& pool = m_pools.at(customer);
        holding& own = pool.holdings.at(entry);
        remove(pool, own);
        const operation_count counted = own.counted();
        const operation_count used = std::min(counted, own.reported.used);
        const auto unreported = static_cast<operation_count>(std::ceil(counted * unreported_part));
        own.reported.held = std::min(counted, used + unreported);
        own.granted = 0;
        add(pool, own);
    }
}

operation_count quota_allocator::held(const customer_name& customer) const
{
    const auto pool = m_pools.find(customer);
    return pool == m_pools.end() ? 0 : static_cast<operation_count>(pool->second.counted);
}

void quota_allocator::add(customer_pool& pool, const holding& added)
{
    pool.counted += added.counted();
    pool.wanted += added.reported.wanted;
    pool.used += added.reported.used;
}

void quota_allocator::remove(customer_pool& pool, const holding& removed)
{
    pool.counted -= removed.counted();
    pool.wanted -= removed.reported.wanted;
    pool.used -= removed.reported.used;
}

void quota_allocator::update_surplus(customer_pool& pool, const division_terms& terms, double maximum,
                                     time_point now)
{
    const double window = seconds(terms.bounds.window);
    const double rate = sustained_operations(terms) / window;
    const double largest = std::max(0.0, maximum - sustained_operations(terms));
    if (!pool.surplus) {
        pool.surplus = largest;
    } else {
        const double elapsed = seconds(std::min(now - pool.surplus_at, max_surplus_interval));
        const double used_per_second = static_cast<double>(pool.used) / window;
        *pool.surplus = std::clamp(*pool.surplus + (rate - used_per_second) * elapsed, 0.0, largest);
    }
    pool.surplus_at = now;
}

void quota_allocator::clear_wanted(const entry_process_id& entry, const process& silent)
{
    for (const customer_name& customer : silent.customers) {
        customer_pool& pool = m_pools.at(customer);
        holding& own = pool.holdings.at(entry);
        pool.wanted -= own.reported.wanted;
        own.reported.wanted = 0;
    }
}

void quota_allocator::forget(const entry_process_id& entry)
{
    const auto known = m_processes.find(entry);
    for (const customer_name& customer : known->second.customers) {
        const auto pool = m_pools.find(customer);
        const auto own = pool->second.holdings.find(entry);
        remove(pool->second, own->second);
        pool->second.holdings.erase(own);
        if (pool->second.holdings.empty()) {
            m_pools.erase(pool);
        }
    }
    m_processes.erase(known);
}

void quota_allocator::forget_expired(time_point now)
{
    std::vector<entry_process_id> expired;
    for (const auto& [entry, known] : m_processes) {
        if (known.counted_until <= now) {
            expired.push_back(entry);
        } else if (now - known.heard_at > silence_limit) {
            clear_wanted(entry, known);
        }
    }
    for (const entry_process_id& entry : expired) {
        forget(entry);
    }
    std::erase_if(m_unheard, [&](const auto& unheard) { return unheard.second <= now; });
}

void quota_allocator::end_older_processes(const entry_process_id& newest, milliseconds window, time_point now)
{
    std::set<entry_process_id> ended;
    for (auto each = m_processes.lower_bound({newest.name, {}});
         each != m_processes.end() && each->first.name == newest.name; ++each) {
        ended.insert(each->first);
    }
    for (auto each = m_unheard.lower_bound({newest.name, {}});
         each != m_unheard.end() && each->first.name == newest.name; ++each) {
        ended.insert(each->first);
    }
    ended.erase(newest);
    for (const entry_process_id& older : ended) {
        end_process(older, window, now);
    }
}

} // namespace hickorymount::limits
