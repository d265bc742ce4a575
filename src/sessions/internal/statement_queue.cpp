#include "sessions/statement_queue.h"

#include "sessions/internal/queue_order.h"

#include <algorithm>

namespace hickorymount::sessions {

namespace {

/// In a lasting overload, one of this many dispatches goes to the priority that was served the longest time
/// ago: without it, a lower priority that needs less than the rest gets nothing at all for as long as higher
/// ones fill the servers. The higher ones lose 6%.
constexpr std::uint32_t guaranteed_interval = 16;

queue_class class_of(const queue_lane& lane)
{
    return {!lane.continues_transaction, lane.priority, lane.customer_priority};
}

} // namespace

void statement_queue::insert(const queue_place& place, double weight, time_point ready_at)
{
    if (!m_arrivals.insert(place.arrival).second) {
        return;
    }
    m_arrivals_by_customer[place.lane.customer].insert(place.arrival);
    if (ready_at > place.arrival.received_at) {
        m_retries.insert({ready_at, place, weight});
        m_retry_times.emplace(place, ready_at);
        return;
    }
    add_to_rotation(place, weight);
}

void statement_queue::add_to_rotation(const queue_place& place, double weight)
{
    const auto [found, is_new] = m_classes.try_emplace(class_of(place.lane));
    if (is_new) {
        found->second.last_sent = m_sent;
    }
    found->second.insert(place, weight);
}

void statement_queue::erase(const queue_place& place)
{
    if (m_arrivals.erase(place.arrival) == 0) {
        return;
    }
    const auto customer = m_arrivals_by_customer.find(place.lane.customer);
    customer->second.erase(place.arrival);
    if (customer->second.empty()) {
        m_arrivals_by_customer.erase(customer);
    }
    if (const auto retry_time = m_retry_times.find(place); retry_time != m_retry_times.end()) {
        const auto waiting = m_retries.lower_bound({retry_time->second, place, 0});
        m_retries.erase(waiting);
        m_retry_times.erase(retry_time);
        return;
    }
    const auto found = m_classes.find(class_of(place.lane));
    found->second.erase(place);
    if (found->second.is_empty()) {
        m_classes.erase(found);
    }
}

std::size_t statement_queue::count(bool needs_primary) const
{
    std::size_t counted = 0;
    for (const auto& [order, rotation] : m_classes) {
        counted += rotation.count(needs_primary);
    }
    return counted;
}

std::optional<time_point> statement_queue::oldest_arrival() const
{
    return m_arrivals.empty() ? std::nullopt : std::optional(m_arrivals.begin()->received_at);
}

std::vector<session_number> statement_queue::oldest_sessions(std::size_t count) const
{
    std::vector<session_number> found;
    for (auto each = m_arrivals.begin(); each != m_arrivals.end() && found.size() < count; ++each) {
        found.push_back(each->session);
    }
    return found;
}

void statement_queue::start_pass(time_point now)
{
    while (!m_retries.empty() && m_retries.begin()->ready_at <= now) {
        const retry due = *m_retries.begin();
        m_retries.erase(m_retries.begin());
        m_retry_times.erase(due.place);
        add_to_rotation(due.place, due.weight);
    }
    for (auto& [order, rotation] : m_classes) {
        rotation.start_pass();
    }
}

void statement_queue::unblock_customer(const customer_name& customer)
{
    for (auto& [order, rotation] : m_classes) {
        rotation.unblock_customer(customer);
    }
}

bool statement_queue::serves_newest(const customer_name& customer, time_point now) const
{
    const auto arrivals = m_arrivals_by_customer.find(customer);
    return arrivals != m_arrivals_by_customer.end() &&
           detail::is_overloaded(now - arrivals->second.begin()->received_at);
}

std::optional<queue_place> statement_queue::first(time_point now, bool guarantees_share) const
{
    const bool is_share_due = guarantees_share && m_sent_since_share + 1 >= guaranteed_interval &&
                              !m_arrivals.empty() &&
                              detail::is_overloaded(now - m_arrivals.begin()->received_at);
    auto chosen = m_classes.end();
    for (auto each = m_classes.begin(); each != m_classes.end(); ++each) {
        if (!each->second.has_unblocked()) {
            continue;
        }
        const bool is_first = chosen == m_classes.end();
        if (is_first || each->second.last_sent < chosen->second.last_sent) {
            chosen = each;
        }
        if (!is_share_due || !each->first.starts_work) {
            break;
        }
    }
    if (chosen == m_classes.end()) {
        return std::nullopt;
    }
    const customer_name& customer = chosen->second.first_customer();
    return chosen->second.first_of(customer, serves_newest(customer, now));
}

void statement_queue::record_sent(const queue_place& place)
{
    const auto found = m_classes.find(class_of(place.lane));
    ++m_sent;
    found->second.last_sent = m_sent;
    found->second.charge(place.lane.customer);
    if (found->first.starts_work) {
        const auto highest = m_classes.lower_bound({true, 0, 0});
        m_sent_since_share = found == highest ? m_sent_since_share + 1 : 0;
    }
    erase(place);
}

void statement_queue::block(const queue_lane& lane)
{
    m_classes.at(class_of(lane)).block(lane);
}

void statement_queue::unblock_next(const queue_lane& lane)
{
    const auto found = m_classes.find(class_of(lane));
    if (found != m_classes.end()) {
        found->second.unblock_next(lane);
    }
}

work_ahead statement_queue::count_ahead(const queue_place& place, time_point now) const
{
    work_ahead ahead;
    const queue_class own = class_of(place.lane);
    for (const auto& [order, rotation] : m_classes) {
        if (!(order < own)) {
            break;
        }
        ahead.for_any_server += static_cast<double>(rotation.count(false));
        ahead.for_primary += static_cast<double>(rotation.count(true));
    }
    if (const auto found = m_classes.find(own); found != m_classes.end()) {
        const auto [any, primary] = found->second.count_ahead(place.lane.customer, place.arrival,
                                                              serves_newest(place.lane.customer, now));
        ahead.for_any_server += any;
        ahead.for_primary += primary;
    }
    return ahead;
}

} // namespace hickorymount::sessions
