#include "logging/fields.h"
#include "sessions/internal/next_check.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/statement_dispatcher.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Longest interval between two checks of the queued statements.
constexpr milliseconds max_check_interval{1000};

} // namespace

void statement_dispatcher::check_timeouts()
{
    std::vector<scheduled_check> due;
    for (auto check = m_context.state.checks.earliest(); check && check->due_at <= m_context.now;
         check = m_context.state.checks.earliest()) {
        m_context.state.checks.remove_earliest();
        if (required_at(*check) != no_check) {
            due.push_back(*check);
        }
        forget_check(*check);
    }
    std::set<group_name> retried;
    for (const scheduled_check& check : due) {
        if (check.subject == check_subject::connection) {
            check_connection(check.number);
        } else if (caller_session* session = m_context.session(check.number); session && session->pending) {
            check_deadlines(check.number, *session);
            // A response may end the session.
            session = m_context.session(check.number);
            const bool is_retried = session != nullptr && session->pending &&
                                    session->pending->stage == statement_stage::queued &&
                                    session->pending->retry_at <= m_context.now;
            if (is_retried) {
                retried.insert(session->pending->route.group);
            }
        }
        reschedule(check);
    }
    for (const group_name& group : retried) {
        dispatch(group);
    }
    if (m_context.now >= m_context.state.next_queue_check_at) {
        check_queues();
    }
}

time_point statement_dispatcher::next_timeout()
{
    discard_obsolete_checks();
    time_point next = m_context.now + max_check_interval;
    if (const std::optional<scheduled_check> check = m_context.state.checks.earliest()) {
        next = std::min(next, check->due_at);
    }
    if (!m_context.state.queues.empty()) {
        next = std::min(next, m_context.state.next_queue_check_at);
    }
    for (const auto& [number, opening] : m_context.state.opening_sessions) {
        next = std::min(next, opening.requested_at + session_open_timeout);
    }
    return next;
}

/// Removes the earliest checks for as long as they are not needed, or not yet.
void statement_dispatcher::discard_obsolete_checks()
{
    for (auto check = m_context.state.checks.earliest(); check && required_at(*check) > check->due_at;
         check = m_context.state.checks.earliest()) {
        m_context.state.checks.remove_earliest();
        forget_check(*check);
        reschedule(*check);
    }
}

void statement_dispatcher::schedule_check(session_number number, caller_session& session)
{
    const time_point due_at = next_check_of(session);
    if (due_at < session.next_check_at) {
        session.next_check_at = due_at;
        m_context.state.checks.add({due_at, check_subject::session, number});
    }
}

time_point statement_dispatcher::next_check_of(const caller_session& session) const
{
    if (!session.pending) {
        return no_check;
    }
    const auto connection = m_context.state.connections.find(session.pending->connection);
    const bool is_relayed = connection != m_context.state.connections.end() && connection->second.is_relay;
    const server_load* relay =
        is_relayed ? &m_context.state.server_loads.at(connection->second.server) : nullptr;
    return next_statement_check(*session.pending, relay, m_context.now);
}

/// When the subject of the check has to be checked; `no_check` if it is gone, has been scheduled anew, or
/// waits for nothing.
time_point statement_dispatcher::required_at(const scheduled_check& check)
{
    if (check.subject == check_subject::session) {
        const caller_session* session = m_context.session(check.number);
        const bool is_current = session != nullptr && session->next_check_at == check.due_at;
        return is_current ? next_check_of(*session) : no_check;
    }
    const server_connection* connection = m_context.connection(check.number);
    const bool is_current = connection != nullptr && connection->next_check_at == check.due_at;
    return is_current ? next_connection_check(*connection) : no_check;
}

/// Records that the check is no longer in the schedule.
void statement_dispatcher::forget_check(const scheduled_check& check)
{
    if (check.subject == check_subject::session) {
        caller_session* session = m_context.session(check.number);
        if (session != nullptr && session->next_check_at == check.due_at) {
            session->next_check_at = no_check;
        }
    } else if (server_connection* connection = m_context.connection(check.number);
               connection != nullptr && connection->next_check_at == check.due_at) {
        connection->next_check_at = no_check;
    }
}

void statement_dispatcher::reschedule(const scheduled_check& check)
{
    if (check.subject == check_subject::session) {
        if (caller_session* session = m_context.session(check.number)) {
            schedule_check(check.number, *session);
        }
    } else if (server_connection* connection = m_context.connection(check.number)) {
        m_connections.schedule_check(check.number, *connection);
    }
}

void statement_dispatcher::check_connection(connection_number number)
{
    const server_connection* connection = m_context.connection(number);
    const char* reason = connection == nullptr ? nullptr : overdue_reason(*connection, m_context.now);
    if (reason != nullptr) {
        m_context.emit(close_connection{number});
        handle_connection_loss(number, reason);
    }
}

void statement_dispatcher::check_deadlines(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (pending.stage == statement_stage::queued && is_too_late(pending, m_context.now)) {
        refuse_queued(number, session);
        return;
    }
    if (pending.stage == statement_stage::preparing && is_too_late(pending, m_context.now)) {
        refuse_unprepared(number, session);
        return;
    }
    if (pending.stage != statement_stage::running) {
        return;
    }
    server_connection& connection = *m_context.connection(pending.connection);
    if (connection.is_relay) {
        check_relay_silence(number, session, connection);
        return;
    }
    if (m_context.now - pending.sent_at >= primary_suspicion_timeout) {
        suspect_if_primary(connection, "a statement is unanswered");
    }
    const statement_scope scope = scope_of(session);
    const bool is_commit = commits_writes(scope) && !pending.may_run_outside;
    if (is_commit && m_context.now - pending.sent_at >= stalled_commit_timeout) {
        suspect_if_primary(connection, "a commit is unanswered", true);
    }
    const bool is_read = scope == statement_scope::single_read;
    const bool tries_elsewhere = is_read && m_context.now - pending.sent_at >= read_retry_delay &&
                                 m_context.now + read_retry_delay / 2 < pending.deadline;
    if (tries_elsewhere || m_context.now >= pending.deadline) {
        abandon_unanswered(number, session);
    }
}

/// A working entry host queues, retries and refuses the statement itself, so only its silence is checked
/// here.
void statement_dispatcher::check_relay_silence(session_number number, caller_session& session,
                                               const server_connection& connection)
{
    const pending_statement& pending = *session.pending;
    server_load& load = m_context.state.server_loads[connection.server];
    const bool is_silent =
        m_context.now - std::max(pending.sent_at, load.last_response_at) >= relay_silence_timeout;
    if (is_silent && m_context.now >= load.avoid_until) {
        load.avoid_until = m_context.now + relay_backoff;
        m_context.log(
            logging::log_level::warning, "avoid_relay", connection.server.value,
            fmt::format("group={} silent_ms={}", connection.group.value,
                        (m_context.now - std::max(pending.sent_at, load.last_response_at)).count()));
    }
    const bool tries_elsewhere = is_silent && scope_of(session) == statement_scope::single_read &&
                                 m_context.now + read_retry_delay / 2 < pending.deadline;
    if (tries_elsewhere || m_context.now >= pending.deadline) {
        abandon_unanswered(number, session);
    }
}

void statement_dispatcher::abandon_unanswered(session_number number, caller_session& session)
{
    const connection_number connection = session.pending->connection;
    const bool is_relayed = m_context.connection(connection)->is_relay;
    session.pending->tried_servers.insert(m_context.connection(connection)->server);
    if (!is_relayed) {
        m_connections.back_off(m_context.connection(connection)->server);
    }
    if (session.transaction) {
        session.transaction->connection = 0;
    }
    if (scope_of(session) == statement_scope::single_read) {
        m_connections.abandon(connection);
    } else {
        m_connections.close(connection);
    }
    session.pending->connection = 0;
    if (m_context.now >= session.pending->deadline && scope_of(session) == statement_scope::single_read) {
        // Whether the other entry host has sent the read to a server is unknown, but a read has no effect.
        reply_with_code(number, session, is_relayed ? response_code::busy : response_code::timed_out,
                        "no answer in time");
        return;
    }
    resolve(number, session, std::nullopt, "no answer in time");
}

/// Refuses a statement whose connection was not prepared in time, so that it was not sent.
void statement_dispatcher::refuse_unprepared(session_number number, caller_session& session)
{
    const connection_number connection = session.pending->connection;
    const bool is_unanswered = m_context.connection(connection)->internal_statement.has_value();
    if (!session.transaction && is_unanswered) {
        m_connections.abandon(connection);
    } else if (!session.transaction) {
        m_connections.release(connection);
    }
    reply_with_code(number, session, response_code::busy, "no connection was prepared in time");
}

void statement_dispatcher::suspect_if_primary(const server_connection& connection, const std::string& reason,
                                              bool are_commits_stalled)
{
    const group_view* group = m_context.group(connection.group);
    if (group != nullptr && group->is_open && group->primary == connection.server) {
        m_context.emit(report_suspected_primary{connection.group, group->term, connection.server, reason,
                                                are_commits_stalled});
    }
}

/// Ends the group's transactions whose callers are idle, because other statements wait for the connections
/// that they hold.
void statement_dispatcher::end_idle_transactions(const group_name& group)
{
    const milliseconds limit = m_context.state.view->configuration->content.transaction_idle_timeout;
    std::vector<session_number> holders;
    for (const auto& [number, connection] : m_context.state.connections) {
        if (connection.stage == connection_stage::reserved && connection.group == group) {
            holders.push_back(connection.holder);
        }
    }
    for (const session_number number : holders) {
        caller_session* session = m_context.session(number);
        const bool is_idle = session != nullptr && session->transaction && !session->pending &&
                             m_context.now - session->transaction->last_used_at >= limit;
        if (!is_idle) {
            continue;
        }
        m_context.log(logging::log_level::information, "end_idle_transaction", "",
                      fmt::format("database={} group={} idle_ms={}", logging::value(session->database),
                                  session->transaction->route.group.value,
                                  (m_context.now - session->transaction->last_used_at).count()));
        fail_transaction(*session);
        session->transaction->has_expired = true;
    }
}

} // namespace hickorymount::sessions::detail
