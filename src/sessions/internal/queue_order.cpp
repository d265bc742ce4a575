#include "sessions/internal/queue_order.h"

#include <tuple>

namespace hickorymount::sessions::detail {

bool precedes(const queued_statement& left, const queued_statement& right)
{
    return std::tuple(!left.continues_transaction, left.priority, left.received_at, left.session) <
           std::tuple(!right.continues_transaction, right.priority, right.received_at, right.session);
}

bool precedes_in_overload(const queued_statement& left, const queued_statement& right)
{
    return std::tuple(!left.continues_transaction, left.priority, right.received_at, left.session) <
           std::tuple(!right.continues_transaction, right.priority, left.received_at, right.session);
}

bool is_overloaded(milliseconds oldest_wait)
{
    return oldest_wait >= overload_threshold;
}

bool is_too_late(const pending_statement& waiting, time_point now)
{
    return now + send_margin >= waiting.deadline;
}

} // namespace hickorymount::sessions::detail
