#include "sessions/internal/operation_limit.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/relay_deadline.h"
#include "sessions/internal/statement_dispatcher.h"
#include "sessions/internal/wait_cause.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Interval between two looks at a statement that awaits a quota.
constexpr milliseconds quota_check_interval{20};

} // namespace

void statement_dispatcher::dispatch(const group_name& group)
{
    const auto found = m_context.state.queues.find(group);
    if (found == m_context.state.queues.end()) {
        return;
    }
    statement_queue& queue = found->second;
    queue_pass_outcome outcome;
    queue.start_pass(m_context.now);
    unblock_customers_with_connections(group, queue);
    run_queue_pass(queue, m_context.now, m_context.identifies_customers(),
                   [&](const queue_place& place) { return look_at(place, outcome); });
    if (queue.is_empty()) {
        m_context.state.queues.erase(found);
        observe_drain(group);
    }
    finish_pass(outcome);
}

void statement_dispatcher::finish_pass(const queue_pass_outcome& outcome)
{
    for (const session_number number : outcome.awaiting_quota) {
        caller_session& session = m_context.state.sessions.at(number);
        session.pending->retry_at = m_context.now + quota_check_interval;
        add_to_queue(number, session);
    }
    for (const session_number number : outcome.refused) {
        caller_session* session = m_context.session(number);
        if (session == nullptr || !session->pending || session->pending->stage != statement_stage::queued) {
            continue;
        }
        if (!is_still_authorized(*session)) {
            refuse_unauthorized(number, *session);
        } else if (session->pending->awaits_quota) {
            reply_with_code(number, *session, response_code::limit_reached,
                            refuse_operation(m_context, session->customer));
        } else {
            refuse_queued(number, *session);
        }
    }
}

look_result statement_dispatcher::look_at(const queue_place& place, queue_pass_outcome& outcome)
{
    const session_number number = place.arrival.session;
    caller_session& session = m_context.state.sessions.at(number);
    // A statement that returned to the queue may belong to a key that was withdrawn while it was in service.
    if (is_too_late_to_send(session) || !is_still_authorized(session)) {
        session.pending->place.reset();
        outcome.refused.push_back(number);
        return look_result::too_late;
    }
    if (session.pending->awaits_quota) {
        const operation_admission admission = count_awaiting_operation(m_context, session);
        session.pending->awaits_quota = admission != operation_admission::admitted;
        if (session.pending->awaits_quota) {
            session.pending->place.reset();
            const bool may_wait = admission == operation_admission::awaits_quota;
            (may_wait ? outcome.awaiting_quota : outcome.refused).push_back(number);
            return look_result::too_late;
        }
    }
    if (try_dispatch(number, session)) {
        session.pending->place.reset();
        return look_result::sent;
    }
    return is_connection_opening(session) ? look_result::awaits_connection : look_result::blocked;
}

/// True while a connection is being opened for the session's customer. Other customers may then open theirs.
bool statement_dispatcher::is_connection_opening(const caller_session& session) const
{
    if (!m_context.identifies_customers()) {
        return false;
    }
    if (m_selector.uses_relay(session)) {
        // Statements of other customers go to other entry hosts.
        return true;
    }
    const std::vector<backend_server_name>& servers = m_context.servers_of(session.pending->route.group);
    return std::any_of(servers.begin(), servers.end(), [&](const backend_server_name& name) {
        const auto load = m_context.state.server_loads.find(name);
        return load != m_context.state.server_loads.end() &&
               load->second.opening_customers.contains(session.customer);
    });
}

/// Lets the customers be looked at that have an idle connection to a server of the group.
void statement_dispatcher::unblock_customers_with_connections(const group_name& group, statement_queue& queue)
{
    if (!m_context.identifies_customers()) {
        return;
    }
    for (const backend_server_name& name : m_context.servers_of(group)) {
        const auto load = m_context.state.server_loads.find(name);
        if (load == m_context.state.server_loads.end() || !m_selector.has_capacity(name)) {
            continue;
        }
        for (const connection_number number : load->second.idle_connections) {
            queue.unblock_customer(m_context.state.connections.at(number).customer);
        }
    }
}

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

/// True when the statement could not be answered before its deadline if it was sent now.
bool statement_dispatcher::is_too_late_to_send(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    const server_connection* connection = m_context.connection(pending.connection);
    const bool is_for_relay = connection == nullptr ? m_selector.uses_relay(session) : connection->is_relay;
    return is_for_relay ? is_too_late_to_relay(pending, m_context.now) : is_too_late(pending, m_context.now);
}

/// Refuses a queued statement for lack of time, and records what it waited for.
void statement_dispatcher::refuse_queued(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    pending.waited_for = find_wait_cause(m_context, pending, m_selector.uses_relay(session));
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
    const auto found = m_context.state.customer_ranks.find(session.customer);
    const customer_rank rank =
        found == m_context.state.customer_ranks.end() ? customer_rank{} : found->second;
    pending.place = {{pending.connection != 0, pending.route.priority, pending.needs_primary,
                      session.database, session.customer, rank.priority, pending.tried_servers},
                     {pending.request.received_at, number}};
    observe_drain(pending.route.group);
    m_context.state.queues[pending.route.group].insert(*pending.place, rank.weight, pending.retry_at);
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
        observe_drain(pending.route.group);
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
        recheck_admission(group);
        refuse_isolated(group);
    }
}

/// Refuses the queued statements of the group that need its primary, if this host is cut off from it.
void statement_dispatcher::refuse_isolated(const group_name& group)
{
    const auto queue = m_context.state.queues.find(group);
    if (queue == m_context.state.queues.end() || !m_selector.is_isolated(group)) {
        return;
    }
    const std::vector<session_number> waiting = queue->second.oldest_sessions(queue->second.size());
    for (const session_number number : waiting) {
        if (caller_session* session = m_context.session(number)) {
            refuse_if_isolated(number, *session);
        }
    }
}

void statement_dispatcher::refuse_if_isolated(session_number number, caller_session& session)
{
    const bool is_refused = session.pending && session.pending->stage == statement_stage::queued &&
                            m_selector.is_isolated(*session.pending) && !m_selector.uses_relay(session);
    if (is_refused) {
        reply_with_code(number, session, response_code::busy,
                        "this host is cut off from the primary or from control");
    }
}

} // namespace hickorymount::sessions::detail
