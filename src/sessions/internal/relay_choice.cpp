#include "sessions/internal/relay_choice.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::sessions::detail {

std::vector<relay_candidate> in_order_of_use(std::vector<relay_candidate> candidates)
{
    std::erase_if(candidates, [](const relay_candidate& each) { return each.is_avoided || each.was_tried; });
    std::sort(candidates.begin(), candidates.end(),
              [](const relay_candidate& left, const relay_candidate& right) {
                  return std::tuple(!left.is_in_own_zone, left.in_use, left.place) <
                         std::tuple(!right.is_in_own_zone, right.in_use, right.place);
              });
    return candidates;
}

} // namespace hickorymount::sessions::detail
