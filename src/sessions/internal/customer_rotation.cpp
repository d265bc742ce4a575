#include "sessions/customer_rotation.h"

#include "sessions/internal/queue_order.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hickorymount::sessions {

namespace {

/// Statements that a customer of average weight sends in one turn. Opening a connection takes a slot for
/// 12 ms, a statement for 6 to 47 ms.
constexpr double round_length = 4;
/// Bounds of a customer's weight, so that a misconfigured limit can't stop a customer.
constexpr double min_weight = 0.01;
constexpr double max_weight = 100;
/// Positions of customers without statements that are kept before the passed ones are removed.
constexpr std::size_t max_left_positions = 64;

detail::queued_statement head_of(const queue_lane& lane, const std::set<statement_arrival>& arrivals,
                                 bool serves_newest)
{
    const statement_arrival& head = serves_newest ? *arrivals.rbegin() : *arrivals.begin();
    return {head.session, lane.continues_transaction, lane.priority, head.received_at};
}

} // namespace

queue_kind customer_rotation::kind_of(const queue_lane& lane)
{
    return {lane.needs_primary, lane.database, lane.tried_servers};
}

customer_rotation::turn customer_rotation::turn_of(const customer_name& name,
                                                   const waiting_customer& customer)
{
    return {static_cast<std::int64_t>(std::floor(customer.position / round_length)), name};
}

void customer_rotation::insert(const queue_place& place, double weight)
{
    const customer_name& name = place.lane.customer;
    const auto [found, is_new] = m_customers.try_emplace(name);
    waiting_customer& customer = found->second;
    if (is_new) {
        const auto left = m_left_positions.find(name);
        customer.weight = std::clamp(weight, min_weight, max_weight);
        customer.position = left == m_left_positions.end() ? m_position : std::max(left->second, m_position);
        m_total_weight += customer.weight;
        if (left != m_left_positions.end()) {
            m_left_positions.erase(left);
        }
    }
    const auto [lane, is_new_lane] = customer.lanes.try_emplace(kind_of(place.lane));
    if (is_new_lane) {
        lane->second.common = place.lane;
        ++customer.unblocked_lanes;
        m_unblocked.insert(turn_of(name, customer));
    }
    if (lane->second.arrivals.insert(place.arrival).second) {
        ++customer.statements;
        ++m_counts[place.lane.needs_primary ? 1 : 0];
    }
}

bool customer_rotation::erase(const queue_place& place)
{
    const auto found = m_customers.find(place.lane.customer);
    if (found == m_customers.end()) {
        return false;
    }
    waiting_customer& customer = found->second;
    const auto lane = customer.lanes.find(kind_of(place.lane));
    if (lane == customer.lanes.end() || lane->second.arrivals.erase(place.arrival) == 0) {
        return false;
    }
    --customer.statements;
    --m_counts[place.lane.needs_primary ? 1 : 0];
    if (!lane->second.arrivals.empty()) {
        return true;
    }
    set_blocked(found->first, lane->first, true);
    const auto blocked = m_blocked.find(lane->first);
    blocked->second.turns.erase(turn_of(found->first, customer));
    if (blocked->second.turns.empty()) {
        m_blocked.erase(blocked);
    }
    customer.lanes.erase(lane);
    if (customer.lanes.empty()) {
        m_total_weight -= customer.weight;
        if (customer.position > m_position) {
            m_left_positions[found->first] = customer.position;
            forget_passed_positions();
        }
        m_customers.erase(found);
    }
    return true;
}

void customer_rotation::forget_passed_positions()
{
    if (m_left_positions.size() > max_left_positions + m_customers.size()) {
        std::erase_if(m_left_positions, [this](const auto& each) { return each.second <= m_position; });
    }
}

queue_place customer_rotation::first_of(const customer_name& customer, bool serves_newest) const
{
    const auto precedes = serves_newest ? detail::precedes_in_overload : detail::precedes;
    const waiting_lane* best = nullptr;
    for (const auto& [kind, lane] : m_customers.at(customer).lanes) {
        const bool is_better =
            !lane.is_blocked &&
            (best == nullptr || precedes(head_of(lane.common, lane.arrivals, serves_newest),
                                         head_of(best->common, best->arrivals, serves_newest)));
        best = is_better ? &lane : best;
    }
    return {best->common, serves_newest ? *best->arrivals.rbegin() : *best->arrivals.begin()};
}

void customer_rotation::charge(const customer_name& name)
{
    waiting_customer& customer = m_customers.at(name);
    m_position = std::max(m_position, customer.position);
    move_to(name, customer, customer.position + 1 / customer.weight);
}

void customer_rotation::move_to(const customer_name& name, waiting_customer& customer, double position)
{
    const turn before = turn_of(name, customer);
    customer.position = position;
    const turn after = turn_of(name, customer);
    if (before == after) {
        return;
    }
    if (m_unblocked.erase(before) != 0) {
        m_unblocked.insert(after);
    }
    for (const auto& [kind, lane] : customer.lanes) {
        if (lane.is_blocked) {
            std::set<turn>& turns = m_blocked.at(kind).turns;
            turns.erase(before);
            turns.insert(after);
        }
    }
}

void customer_rotation::set_blocked(const customer_name& name, const queue_kind& kind, bool is_blocked)
{
    waiting_customer& customer = m_customers.at(name);
    waiting_lane& lane = customer.lanes.at(kind);
    if (lane.is_blocked == is_blocked) {
        return;
    }
    lane.is_blocked = is_blocked;
    const turn own = turn_of(name, customer);
    if (is_blocked) {
        m_blocked[kind].turns.insert(own);
        if (--customer.unblocked_lanes == 0) {
            m_unblocked.erase(own);
        }
        return;
    }
    m_blocked.at(kind).turns.erase(own);
    ++customer.unblocked_lanes;
    m_unblocked.insert(own);
}

void customer_rotation::block(const queue_lane& lane)
{
    set_blocked(lane.customer, kind_of(lane), true);
}

void customer_rotation::start_pass()
{
    std::erase_if(m_blocked, [](const auto& each) { return each.second.turns.empty(); });
    for (auto& [kind, blocked] : m_blocked) {
        const turn first = *blocked.turns.begin();
        blocked.probed = first;
        set_blocked(first.second, kind, false);
    }
}

void customer_rotation::unblock_next(const queue_lane& lane)
{
    const auto blocked = m_blocked.find(kind_of(lane));
    if (blocked == m_blocked.end()) {
        return;
    }
    std::set<turn>& turns = blocked->second.turns;
    const auto next = blocked->second.probed ? turns.upper_bound(*blocked->second.probed) : turns.begin();
    if (next != turns.end()) {
        blocked->second.probed = *next;
        set_blocked(blocked->second.probed->second, blocked->first, false);
    }
}

void customer_rotation::unblock_customer(const customer_name& name)
{
    const auto found = m_customers.find(name);
    if (found == m_customers.end() || found->second.unblocked_lanes == found->second.lanes.size()) {
        return;
    }
    for (const auto& [kind, lane] : found->second.lanes) {
        set_blocked(name, kind, false);
    }
}

std::pair<double, double> customer_rotation::count_ahead(const customer_name& name,
                                                         const statement_arrival& arrival,
                                                         bool serves_newest) const
{
    const auto found = m_customers.find(name);
    if (found == m_customers.end()) {
        return {0, 0};
    }
    const waiting_customer& customer = found->second;
    std::pair<double, double> own{0, 0};
    for (const auto& [kind, lane] : customer.lanes) {
        // The sets count no ranks, so the arrivals of a lane are taken to be evenly spread in time.
        const double all = static_cast<double>(lane.arrivals.size());
        const auto oldest = lane.arrivals.begin()->received_at;
        const auto newest = lane.arrivals.rbegin()->received_at;
        const double span = std::max<double>(1, static_cast<double>((newest - oldest).count()));
        const double older =
            std::clamp(static_cast<double>((arrival.received_at - oldest).count()) / span, 0.0, 1.0) *
            (all - 1);
        const double before = arrival <= *lane.arrivals.begin() ? 0 : std::max(older, 0.0);
        const bool is_behind_all = *lane.arrivals.rbegin() < arrival;
        const double older_count = is_behind_all ? all : before;
        const double counted = serves_newest ? all - older_count : older_count;
        (kind.needs_primary ? own.second : own.first) += std::max(0.0, counted);
    }
    // While this customer's statements are sent, the others send theirs in proportion to their weights.
    const double turns = (own.first + own.second) / customer.weight;
    const double others_weight = m_total_weight - customer.weight;
    const double all_any = static_cast<double>(m_counts[0]);
    const double all_primary = static_cast<double>(m_counts[1]);
    const double others = all_any + all_primary - static_cast<double>(customer.statements);
    const double others_ahead = std::min(others, turns * others_weight);
    const double share = others > 0 ? others_ahead / (all_any + all_primary) : 0;
    return {own.first + all_any * share, own.second + all_primary * share};
}

} // namespace hickorymount::sessions
