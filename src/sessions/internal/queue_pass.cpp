#include "sessions/internal/queue_pass.h"

namespace hickorymount::sessions::detail {

std::size_t run_queue_pass(statement_queue& queue, time_point now, bool guarantees_share,
                           const std::function<look_result(const queue_place&)>& look)
{
    std::size_t looks = 0;
    while (const std::optional<queue_place> place = queue.first(now, guarantees_share)) {
        ++looks;
        switch (look(*place)) {
        case look_result::sent:
            queue.record_sent(*place);
            queue.unblock_next(place->lane);
            break;
        case look_result::too_late:
            queue.erase(*place);
            break;
        case look_result::awaits_connection:
            queue.block(place->lane);
            queue.unblock_next(place->lane);
            break;
        case look_result::blocked:
            queue.block(place->lane);
            break;
        }
    }
    return looks;
}

} // namespace hickorymount::sessions::detail
