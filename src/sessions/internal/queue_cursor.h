#pragma once

#include "sessions/internal/queue_order.h"
#include "sessions/statement_queue.h"

#include <optional>
#include <vector>

namespace hickorymount::sessions::detail {

/// Visits the statements of a queue in the order in which they are to be sent, by merging its lanes. The
/// queue must not change meanwhile.
class queue_cursor
{
public:
    /// In a lasting overload the newest come first.
    queue_cursor(const statement_queue& queue, bool serves_newest);

    /// The next statement; nothing at the end.
    std::optional<queue_place> next();
    /// Leaves out the rest of the lane that the last statement came from.
    void skip_lane();

private:
    struct lane_position
    {
        const queue_lane* lane = nullptr;
        const std::set<statement_arrival>* arrivals = nullptr;
        std::set<statement_arrival>::const_iterator at;
    };

    [[nodiscard]] const statement_arrival& head_of(const lane_position& position) const;
    [[nodiscard]] queued_statement candidate_of(const lane_position& position) const;
    [[nodiscard]] bool is_at_end(const lane_position& position) const;

    bool m_serves_newest = false;
    std::vector<lane_position> m_lanes;
    std::size_t m_last = 0;
};

} // namespace hickorymount::sessions::detail
