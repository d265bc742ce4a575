#include "sessions/internal/read_ranking.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

namespace {

/// Approximate time for which one statement occupies a slot.
constexpr double statement_cost_ms = 20;
/// Keeps capacity at the primary for writes, which no other server can run.
constexpr double primary_penalty_ms = 60;
/// Traffic between zones costs money and takes longer.
constexpr double other_zone_penalty_ms = 15;

double cost_ms(const read_candidate& server)
{
    return server.latency_ms + statement_cost_ms * server.in_flight +
           (server.is_primary ? primary_penalty_ms : 0) + (server.is_in_own_zone ? 0 : other_zone_penalty_ms);
}

} // namespace

std::vector<read_candidate> rank_read_servers(std::vector<read_candidate> servers)
{
    std::stable_sort(
        servers.begin(), servers.end(), [](const read_candidate& left, const read_candidate& right) {
            return std::tuple(left.is_avoided, cost_ms(left)) < std::tuple(right.is_avoided, cost_ms(right));
        });
    return servers;
}

} // namespace hickorymount::sessions::detail
