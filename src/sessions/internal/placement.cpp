#include "sessions/internal/placement.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

namespace {

/// About the time that one statement holds a slot.
constexpr double statement_cost_ms = 20;
/// Writes have nowhere else to go.
constexpr double primary_cost_ms = 60;
/// Bytes between zones are paid for, and the way is longer.
constexpr double other_zone_cost_ms = 15;

double cost_ms(const read_server& server)
{
    return server.latency_ms + statement_cost_ms * server.in_use + (server.is_primary ? primary_cost_ms : 0) +
           (server.is_in_own_zone ? 0 : other_zone_cost_ms);
}

} // namespace

std::vector<read_server> in_order_of_preference(std::vector<read_server> servers)
{
    std::stable_sort(servers.begin(), servers.end(), [](const read_server& left, const read_server& right) {
        return std::tuple(left.is_avoided, cost_ms(left)) < std::tuple(right.is_avoided, cost_ms(right));
    });
    return servers;
}

} // namespace hickorymount::sessions::detail
