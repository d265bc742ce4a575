#include "sessions/internal/read_ranking.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

namespace {

/// Estimates for a server that has executed no statement of this host yet.
constexpr double default_service_ms = 20;
constexpr double default_round_trip_ms = 1;
constexpr std::uint32_t default_slots = 3;
/// Server time that opening a connection takes on the deployments measured so far.
constexpr double opening_ms = 12;
/// Bytes between zones cost money, those between regions most.
constexpr double other_zone_penalty_ms = 2;
constexpr double far_penalty_ms = 10;
/// Round trips between the zones of a region are at most 9 ms, those between regions 24 ms. The difference of
/// two measurements is free of what both include beyond the network.
constexpr double far_difference_ms = 12;
/// Share of a service time that a read displaces at the primary, where writes need the slots.
constexpr double primary_penalty = 0.5;
/// Queueing above this share of a service time shows that the server has no free slot.
constexpr double free_slot_queueing = 1;
/// With queueing of this many service times, a server takes nothing from other regions.
constexpr double full_queueing = 2;

double slots_of(const read_candidate& server)
{
    return std::max(1U, server.slots.value_or(default_slots));
}

/// Time by which a statement takes longer there than at a server of the group that is neither full nor slow.
double excess_ms(const read_candidate& server, double group_service_ms)
{
    return server.service_ms.value_or(default_service_ms) + server.queueing_ms - group_service_ms;
}

} // namespace

double measured_cost_ms(const read_candidate& server)
{
    const double service = server.service_ms.value_or(default_service_ms);
    double cost = server.round_trip_ms.value_or(default_round_trip_ms) + service + server.queueing_ms;
    cost += server.is_primary ? primary_penalty * service : 0;
    if (!server.is_in_own_zone) {
        cost += server.is_far ? far_penalty_ms : other_zone_penalty_ms;
    }
    return cost;
}

double expected_cost_ms(const read_candidate& server)
{
    const double service = server.service_ms.value_or(default_service_ms);
    const double ahead = (service + server.queueing_ms) * server.in_flight / slots_of(server);
    const double opening =
        server.needs_opening ? opening_ms + server.round_trip_ms.value_or(default_round_trip_ms) : 0;
    return measured_cost_ms(server) + ahead + opening;
}

void estimate_unmeasured(std::vector<read_candidate>& servers)
{
    std::optional<double> round_trip;
    std::optional<double> service;
    for (const read_candidate& server : servers) {
        const double found = server.round_trip_ms.value_or(default_round_trip_ms);
        round_trip = std::min(found, round_trip.value_or(found));
        service =
            server.service_ms ? std::min(*server.service_ms, service.value_or(*server.service_ms)) : service;
    }
    for (read_candidate& server : servers) {
        server.round_trip_ms = server.round_trip_ms.value_or(round_trip.value_or(default_round_trip_ms));
        server.service_ms = server.service_ms.value_or(service.value_or(default_service_ms));
    }
}

std::vector<read_candidate> rank_read_servers(std::vector<read_candidate> servers)
{
    std::stable_sort(servers.begin(), servers.end(),
                     [](const read_candidate& left, const read_candidate& right) {
                         return std::tuple(left.is_avoided, expected_cost_ms(left)) <
                                std::tuple(right.is_avoided, expected_cost_ms(right));
                     });
    return servers;
}

bool is_far(std::optional<double> round_trip_ms, std::optional<double> shortest_of_group_ms)
{
    return round_trip_ms && shortest_of_group_ms &&
           *round_trip_ms - *shortest_of_group_ms >= far_difference_ms;
}

bool has_free_slot(const read_candidate& server, double group_service_ms)
{
    return excess_ms(server, group_service_ms) <= free_slot_queueing * group_service_ms &&
           server.in_flight + 1 <= slots_of(server);
}

double spare_share(const read_candidate& server, double group_service_ms)
{
    const double excess = excess_ms(server, group_service_ms);
    return std::clamp(1 - excess / (full_queueing * group_service_ms), 0.0, 1.0);
}

double lowest_service_ms(const std::vector<read_candidate>& servers)
{
    double lowest = default_service_ms;
    bool is_known = false;
    for (const read_candidate& server : servers) {
        if (server.service_ms) {
            lowest = is_known ? std::min(lowest, *server.service_ms) : *server.service_ms;
            is_known = true;
        }
    }
    return lowest;
}

bool may_read_at_primary(const read_candidate& primary)
{
    // A third of the slots, one at least, stays free for writes.
    const double reserved = std::max(1.0, slots_of(primary) / 3);
    const double service = primary.service_ms.value_or(default_service_ms);
    return primary.queueing_ms <= free_slot_queueing * service &&
           primary.in_flight + 1 + reserved <= slots_of(primary);
}

} // namespace hickorymount::sessions::detail
