#include "sessions/internal/relay_ranking.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

namespace {

/// The host preferred by a customer's rank gives way to the next one when it has this many more statements of
/// this host in service: a large customer then uses several.
constexpr std::uint32_t max_load_difference = 4;

void prefer_less_loaded(std::vector<relay_candidate>& ranked)
{
    if (ranked.size() < 2 || ranked[0].customer_rank == 0) {
        return;
    }
    const bool is_equivalent = ranked[0].is_in_target_region == ranked[1].is_in_target_region &&
                               ranked[0].is_in_own_zone == ranked[1].is_in_own_zone;
    if (is_equivalent && ranked[0].connections_in_use >= ranked[1].connections_in_use + max_load_difference) {
        std::swap(ranked[0], ranked[1]);
    }
}

} // namespace

std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> candidates)
{
    std::erase_if(candidates, [](const relay_candidate& each) { return each.is_avoided || each.was_tried; });
    std::sort(candidates.begin(), candidates.end(),
              [](const relay_candidate& left, const relay_candidate& right) {
                  return std::tuple(!left.is_in_target_region, !left.is_in_own_zone,
                                    left.customer_rank == 0 ? left.connections_in_use : 0,
                                    right.customer_rank, left.plan_index) <
                         std::tuple(!right.is_in_target_region, !right.is_in_own_zone,
                                    right.customer_rank == 0 ? right.connections_in_use : 0,
                                    left.customer_rank, right.plan_index);
              });
    prefer_less_loaded(candidates);
    return candidates;
}

} // namespace hickorymount::sessions::detail
