#include "sessions/internal/relay_ranking.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> candidates)
{
    std::erase_if(candidates, [](const relay_candidate& each) { return each.is_avoided || each.was_tried; });
    std::sort(candidates.begin(), candidates.end(),
              [](const relay_candidate& left, const relay_candidate& right) {
                  return std::tuple(!left.is_in_own_zone, left.connections_in_use, left.plan_index) <
                         std::tuple(!right.is_in_own_zone, right.connections_in_use, right.plan_index);
              });
    return candidates;
}

} // namespace hickorymount::sessions::detail
