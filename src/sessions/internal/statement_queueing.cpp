#include "sessions/internal/queue_cursor.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/relay_deadline.h"
#include "sessions/internal/statement_dispatcher.h"
#include "sessions/internal/wait_cause.h"

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

void statement_dispatcher::dispatch(const group_name& group)
{
    const auto found = m_context.state.queues.find(group);
    if (found == m_context.state.queues.end()) {
        return;
    }
    queue_cursor cursor(found->second, is_overloaded(m_context.now - *found->second.oldest_arrival()));
    std::vector<session_number> sent;
    std::vector<session_number> too_late;
    while (const std::optional<queue_place> place = cursor.next()) {
        const session_number number = place->arrival.session;
        caller_session& session = m_context.state.sessions.at(number);
        if (session.pending->retry_at > m_context.now) {
            continue;
        }
        if (is_too_late_to_send(session)) {
            too_late.push_back(number);
        } else if (try_dispatch(number, session)) {
            sent.push_back(number);
        } else if (holds_up_lane(session)) {
            cursor.skip_lane();
        }
    }
    for (const session_number number : sent) {
        remove_from_queue(m_context.state.sessions.at(number));
    }
    for (const session_number number : too_late) {
        caller_session* session = m_context.session(number);
        if (session != nullptr && session->pending && session->pending->stage == statement_stage::queued) {
            refuse_queued(number, *session);
        }
    }
}

/// Sends queued statements after a connection for the group has become free or was lost.
void statement_dispatcher::dispatch_after(const group_name& group, bool was_relay)
{
    // With customers, connections to other entry hosts serve all groups.
    if (was_relay && m_context.identifies_customers()) {
        dispatch_all();
    } else {
        dispatch(group);
    }
}

void statement_dispatcher::dispatch_all()
{
    for (const group_name& group : queued_groups()) {
        dispatch(group);
    }
}

std::vector<group_name> statement_dispatcher::queued_groups() const
{
    std::vector<group_name> groups;
    for (const auto& [group, waiting] : m_context.state.queues) {
        groups.push_back(group);
    }
    return groups;
}

/// True when none of the statements behind this one in its lane can be sent either.
bool statement_dispatcher::holds_up_lane(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    return pending.tried_servers.empty() || (pending.needs_primary && !uses_relay(session));
}

/// True when the statement could not be answered before its deadline if it was sent now.
bool statement_dispatcher::is_too_late_to_send(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    const server_connection* connection = m_context.connection(pending.connection);
    const bool is_for_relay = connection == nullptr ? uses_relay(session) : connection->is_relay;
    return is_for_relay ? is_too_late_to_relay(pending, m_context.now) : is_too_late(pending, m_context.now);
}

/// Refuses a queued statement for lack of time, and records what it waited for.
void statement_dispatcher::refuse_queued(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    pending.waited_for = find_wait_cause(m_context, pending, uses_relay(session));
    reply_with_code(number, session, response_code::busy,
                    fmt::format("no server was free in time: {}", to_string(pending.waited_for)));
}

void statement_dispatcher::add_to_queue(session_number number, caller_session& session)
{
    // A statement that waited for its own connection may still be in the queue.
    remove_from_queue(session);
    pending_statement& pending = *session.pending;
    if (m_context.state.queues.empty()) {
        m_context.state.next_queue_check_at = m_context.now + queue_check_interval;
    }
    pending.place = {{pending.connection != 0, pending.route.priority, pending.needs_primary,
                      session.database, session.customer},
                     {pending.request.received_at, number}};
    m_context.state.queues[pending.route.group].insert(*pending.place);
    schedule_check(number, session);
}

void statement_dispatcher::remove_from_queue(caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (!pending.place) {
        return;
    }
    const auto queue = m_context.state.queues.find(pending.route.group);
    queue->second.erase(*pending.place);
    if (queue->second.is_empty()) {
        m_context.state.queues.erase(queue);
    }
    pending.place.reset();
}

void statement_dispatcher::check_queues()
{
    if (m_context.state.queues.empty()) {
        return;
    }
    m_context.state.next_queue_check_at = m_context.now + queue_check_interval;
    for (const group_name& group : queued_groups()) {
        end_idle_transactions(group);
        dispatch(group);
        refuse_isolated(group);
    }
}

/// Refuses the queued statements of the group that need its primary, if this host is cut off from it.
void statement_dispatcher::refuse_isolated(const group_name& group)
{
    const auto queue = m_context.state.queues.find(group);
    if (queue == m_context.state.queues.end() || !is_isolated(group)) {
        return;
    }
    std::vector<session_number> waiting;
    for (const auto& [lane, arrivals] : queue->second.lanes()) {
        for (const statement_arrival& arrival : arrivals) {
            waiting.push_back(arrival.session);
        }
    }
    for (const session_number number : waiting) {
        if (caller_session* session = m_context.session(number)) {
            refuse_if_isolated(number, *session);
        }
    }
}

void statement_dispatcher::refuse_if_isolated(session_number number, caller_session& session)
{
    const bool is_refused = session.pending && session.pending->stage == statement_stage::queued &&
                            is_isolated(*session.pending) && !uses_relay(session);
    if (is_refused) {
        reply_with_code(number, session, response_code::busy,
                        "this host is cut off from the primary or from control");
    }
}

} // namespace hickorymount::sessions::detail
