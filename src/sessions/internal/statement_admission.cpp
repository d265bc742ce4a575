#include "sessions/internal/admission.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/response_action.h"
#include "sessions/internal/statement_dispatcher.h"

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Queued statements of a group whose admission is checked again at once. The checks are due every 100 ms, so
/// that their cost is bounded.
constexpr std::size_t max_rechecked = 16;

} // namespace

/// Brings the drain rates of the group up to date. Has to be called before statements are added, and after
/// the last one was removed.
void statement_dispatcher::observe_drain(const group_name& group)
{
    const auto queue = m_context.state.queues.find(group);
    const bool has_queue = queue != m_context.state.queues.end();
    const group_view* known = m_context.group(group);
    const bool is_primary_paused = known == nullptr || known->is_held || !m_context.is_primary_usable(*known);
    group_drain& drain = m_context.state.drains[group];
    drain.of_primary =
        after_time(drain.of_primary, m_context.now, drain.was_waiting_for_primary, is_primary_paused);
    drain.of_reads = after_time(drain.of_reads, m_context.now, drain.were_reads_waiting, false);
    drain.was_waiting_for_primary = has_queue && queue->second.count(true) > 0;
    drain.were_reads_waiting = has_queue && queue->second.count(false) > 0;
}

/// Counts the statement if a server has finished it.
void statement_dispatcher::record_finished(const pending_statement& pending, response_code code)
{
    const auto found = m_context.state.drains.find(pending.route.group);
    if (found == m_context.state.drains.end() || is_not_run(code)) {
        return;
    }
    observe_drain(pending.route.group);
    drain_rate& rate = pending.needs_primary ? found->second.of_primary : found->second.of_reads;
    const bool were_waiting =
        pending.needs_primary ? found->second.was_waiting_for_primary : found->second.were_reads_waiting;
    if (were_waiting) {
        rate = after_finished_statement(rate, m_context.now);
    }
}

/// Refuses the queued statement if the work ahead of it takes longer than its remaining time.
void statement_dispatcher::refuse_if_hopeless(session_number number, caller_session& session)
{
    if (!session.pending || !session.pending->place || session.pending->connection != 0) {
        return;
    }
    pending_statement& pending = *session.pending;
    const auto drain = m_context.state.drains.find(pending.route.group);
    const auto queue = m_context.state.queues.find(pending.route.group);
    if (drain == m_context.state.drains.end() || queue == m_context.state.queues.end()) {
        return;
    }
    const work_ahead ahead = queue->second.count_ahead(*pending.place, m_context.now);
    expected_wait wait;
    wait.ahead = pending.needs_primary ? ahead.for_primary : ahead.for_any_server;
    wait.drained_per_second =
        per_second(pending.needs_primary ? drain->second.of_primary : drain->second.of_reads);
    if (may_be_answered(wait, pending.deadline - m_context.now)) {
        return;
    }
    pending.waited_for = wait_cause::too_much_work_ahead;
    reply_with_code(
        number, session, response_code::busy,
        fmt::format("no server would be free in time: {:.0f} statements ahead, {:.1f} finished per second",
                    wait.ahead, *wait.drained_per_second));
}

/// Checks the oldest statements of the queue again, which are the last ones in the order of an overload: the
/// servers may have become slower.
void statement_dispatcher::recheck_admission(const group_name& group)
{
    observe_drain(group);
    const auto queue = m_context.state.queues.find(group);
    if (queue == m_context.state.queues.end() ||
        !is_overloaded(m_context.now - *queue->second.oldest_arrival())) {
        return;
    }
    for (const session_number number : queue->second.oldest_sessions(max_rechecked)) {
        if (caller_session* session = m_context.session(number)) {
            refuse_if_hopeless(number, *session);
        }
    }
}

} // namespace hickorymount::sessions::detail
