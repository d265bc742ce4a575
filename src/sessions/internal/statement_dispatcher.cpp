#include "sessions/internal/statement_dispatcher.h"

#include "sessions/internal/customer_identity.h"
#include "sessions/internal/next_check.h"
#include "sessions/internal/position_samples.h"
#include "sessions/internal/queue_cursor.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/wait_cause.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Longest interval between two checks of the queued statements.
constexpr milliseconds max_check_interval{1000};

bool is_handled_locally(statement_kind kind)
{
    return kind == statement_kind::set_variable || kind == statement_kind::prepare ||
           kind == statement_kind::deallocate;
}

bool commits_writes(statement_scope scope)
{
    return scope == statement_scope::single_write || scope == statement_scope::commit_of_writes;
}

/// Excludes the server from further attempts of the statement. If it lacked the required position, the
/// statement goes to the primary, which has it.
void record_refusal(pending_statement& pending, const backend_server_name& server, response_code code)
{
    pending.tried_servers.insert(server);
    pending.needs_primary = pending.needs_primary || code == response_code::lagging;
}

transaction_state transaction_state_of(const caller_session& session)
{
    if (!session.transaction) {
        return transaction_state::none;
    }
    return session.transaction->is_failed ? transaction_state::failed : transaction_state::open;
}

} // namespace

statement_dispatcher::statement_dispatcher(event_context& context, connection_pool& connections)
    : m_context(context), m_connections(connections), m_selector(context, connections)
{
}

void statement_dispatcher::open(session_number number, const opening_session& request)
{
    const bool is_closing =
        m_context.state.stopping_since && m_context.now - *m_context.state.stopping_since >= balancer_delay;
    const bool is_known = m_context.state.routes.contains(request.database);
    if (!is_closing && m_context.state.view->configuration->version == 0) {
        m_context.state.opening_sessions.emplace(number, request);
        return;
    }
    if (is_closing) {
        m_context.emit(refuse_session{number, response_code::busy, "the proxy takes no sessions now"});
        return;
    }
    if (!is_known) {
        m_context.emit(refuse_session{number, response_code::unknown_database, request.database});
        return;
    }
    caller_session session;
    session.database = request.database;
    session.is_relayed = request.is_relayed;
    session.key = request.key;
    if (!session.is_relayed && !customer_of_caller(m_context.state, session)) {
        m_context.log(logging::log_level::information, "refuse_session", "",
                      fmt::format("database={} reason=\"unknown key\"", request.database));
        m_context.emit(refuse_session{number, response_code::not_authorized, "unknown key"});
        return;
    }
    m_context.state.sessions.emplace(number, std::move(session));
    m_context.emit(accept_session{number});
}

void statement_dispatcher::open_waiting_sessions()
{
    const auto waiting = m_context.state.opening_sessions;
    for (const auto& [number, opening] : waiting) {
        if (m_context.state.view->configuration->version != 0) {
            m_context.state.opening_sessions.erase(number);
            open(number, opening);
        } else if (m_context.now - opening.requested_at >= session_open_timeout) {
            m_context.state.opening_sessions.erase(number);
            m_context.emit(refuse_session{number, response_code::busy, "no configuration yet"});
        }
    }
}

/// Ends what the sessions of withdrawn keys still have: idle sessions are closed, queued statements refused,
/// and open transactions rolled back. A statement in service gets its response.
void statement_dispatcher::end_unauthorized_sessions()
{
    std::vector<session_number> ended;
    for (const auto& [number, session] : m_context.state.sessions) {
        if (!session.is_relayed && !customer_of_caller(m_context.state, session)) {
            ended.push_back(number);
        }
    }
    for (const session_number number : ended) {
        caller_session& session = m_context.state.sessions.at(number);
        if (session.pending && session.pending->stage == statement_stage::queued) {
            refuse_unauthorized(number, session);
        } else if (!session.pending && !session.transaction) {
            m_context.emit(close_session{number});
            close(number);
        } else if (!session.pending && !session.transaction->is_failed) {
            fail_transaction(session);
        }
    }
}

/// Determines whose statement it is. False if its caller may run none.
bool statement_dispatcher::authorize(caller_session& session, const received_statement& request)
{
    if (session.is_relayed && request.caller && !session.transaction) {
        session.database = request.caller->database;
        session.customer = request.caller->customer;
    }
    const std::optional<customer_name> customer =
        session.is_relayed ? customer_of_relayed_statement(m_context.state, session.customer)
                           : customer_of_caller(m_context.state, session);
    const bool changes_in_transaction =
        session.transaction && !session.transaction->is_failed && customer != session.customer;
    if (!customer || changes_in_transaction) {
        return false;
    }
    session.customer = *customer;
    return true;
}

/// Refuses the statement and rolls back its transaction; a caller's session is closed as well.
void statement_dispatcher::refuse_unauthorized(session_number number, caller_session& session)
{
    const bool is_relayed = session.is_relayed;
    m_context.log(logging::log_level::information, "refuse_unauthorized", "",
                  fmt::format("database={} customer={} relayed={}", session.database, session.customer.value,
                              is_relayed));
    if (session.transaction) {
        end_transaction(session);
    }
    session.pipelined_statements.clear();
    reply_with_code(number, session, response_code::not_authorized,
                    is_relayed ? "unknown customer" : "the key was withdrawn");
    if (!is_relayed) {
        m_context.emit(close_session{number});
        close(number);
    }
}

void statement_dispatcher::submit(session_number number, received_statement request)
{
    caller_session* session = m_context.session(number);
    if (session == nullptr) {
        return;
    }
    if (!session->pending) {
        handle_request(number, *session, request);
        return;
    }
    if (session->pipelined_statements.size() >= max_pipelined_statements) {
        m_context.log(logging::log_level::warning, "close_session", "",
                      "reason=\"too many pipelined statements\"");
        close(number);
        m_context.emit(close_session{number});
        return;
    }
    session->pipelined_statements.push_back(std::move(request));
}

void statement_dispatcher::refuse_malformed(session_number number)
{
    if (caller_session* session = m_context.session(number)) {
        reply_with_code(number, *session, response_code::malformed, "not a statement");
    }
}

void statement_dispatcher::handle_request(session_number number, caller_session& session,
                                          const received_statement& request)
{
    if (!authorize(session, request)) {
        refuse_unauthorized(number, session);
        return;
    }
    if (handle_locally(number, session, request)) {
        return;
    }
    enqueue(number, session, request);
}

/// Handles statements that need no server; their responses carry no server signature.
bool statement_dispatcher::handle_locally(session_number number, caller_session& session,
                                          const received_statement& request)
{
    const statement& body = request.body;
    const bool ends = body.kind == statement_kind::commit || body.kind == statement_kind::rollback;
    if (session.transaction && session.transaction->is_failed) {
        if (!ends && std::exchange(session.transaction->has_expired, false)) {
            reply_with_code(number, session, response_code::aborted, "the transaction was idle for too long");
            return true;
        }
        if (!ends) {
            reply_with_code(number, session, response_code::malformed, "the transaction has failed");
            return true;
        }
        end_transaction(session);
        reply_with_code(number, session,
                        body.kind == statement_kind::commit ? response_code::aborted : response_code::done,
                        body.kind == statement_kind::commit ? "the transaction has failed" : "");
        return true;
    }
    if (body.kind >= statement_kind::reset) {
        handle_internal_request(number, session, body);
        return true;
    }
    if (is_handled_locally(body.kind)) {
        if (body.kind == statement_kind::set_variable && session.variables.size() < max_session_variables) {
            session.variables[body.name] = body.argument;
        } else if (body.kind == statement_kind::prepare &&
                   session.prepared_statements.size() < max_prepared_statements) {
            session.prepared_statements[body.name] = {body.is_read_only, body.argument};
        } else if (body.kind != statement_kind::deallocate ||
                   session.prepared_statements.erase(body.name) == 0) {
            reply_with_code(number, session, response_code::unknown_statement, body.name);
            return true;
        }
        reply_with_code(number, session, response_code::done, "");
        return true;
    }
    if (body.kind == statement_kind::execute && !session.prepared_statements.contains(body.name)) {
        reply_with_code(number, session, response_code::unknown_statement, body.name);
        return true;
    }
    if (body.kind == statement_kind::begin || body.kind == statement_kind::begin_read) {
        begin_transaction(number, session, request);
        return true;
    }
    if (ends && !session.transaction) {
        reply_with_code(number, session, response_code::malformed, "no transaction is open");
        return true;
    }
    if (body.kind == statement_kind::rollback) {
        roll_back_transaction(number, session);
        return true;
    }
    return false;
}

/// Handles statements that only other proxies may send.
void statement_dispatcher::handle_internal_request(session_number number, caller_session& session,
                                                   const statement& body)
{
    if (!session.is_relayed || body.kind != statement_kind::reset) {
        reply_with_code(number, session, response_code::malformed, "not a statement");
        return;
    }
    session.variables.clear();
    session.prepared_statements.clear();
    reply_with_code(number, session, response_code::done, "");
}

void statement_dispatcher::begin_transaction(session_number number, caller_session& session,
                                             const received_statement& request)
{
    if (session.transaction) {
        reply_with_code(number, session, response_code::malformed, "a transaction is open");
        return;
    }
    const auto route = m_context.state.routes.find(session.database);
    if (route == m_context.state.routes.end()) {
        reply_with_code(number, session, response_code::unknown_database, session.database);
        return;
    }
    open_transaction transaction;
    transaction.is_read_only = request.body.kind == statement_kind::begin_read;
    transaction.route = route->second;
    transaction.minimum_position = request.minimum_position;
    transaction.started_at = transaction.last_used_at = request.received_at;
    session.transaction = std::move(transaction);
    reply_with_code(number, session, response_code::done, "");
}

void statement_dispatcher::roll_back_transaction(session_number number, caller_session& session)
{
    end_transaction(session);
    reply_with_code(number, session, response_code::done, "");
}

void statement_dispatcher::enqueue(session_number number, caller_session& session,
                                   const received_statement& request)
{
    pending_statement pending;
    pending.request = request;
    if (session.transaction) {
        pending.route = session.transaction->route;
        pending.connection = session.transaction->connection;
        pending.is_read_only = session.transaction->is_read_only;
        pending.request.minimum_position = session.transaction->minimum_position;
    } else {
        const auto route = m_context.state.routes.find(session.database);
        if (route == m_context.state.routes.end()) {
            reply_with_code(number, session, response_code::unknown_database, session.database);
            return;
        }
        pending.route = route->second;
        const statement& body = request.body;
        pending.is_read_only =
            body.kind == statement_kind::read ||
            (body.kind == statement_kind::execute && session.prepared_statements.at(body.name).is_read_only);
    }
    pending.needs_primary =
        !pending.is_read_only || pending.route.consistency == configuration::read_consistency::primary;
    pending.deadline = request.received_at + pending.route.statement_timeout;
    pending.retry_at = m_context.now;
    const group_name group = pending.route.group;
    session.pending = std::move(pending);
    add_to_queue(number, session);
    dispatch(group);
    if (m_context.queued_count(group) == 1) {
        end_idle_transactions(group);
    }
    refuse_if_isolated(number, session);
}

void statement_dispatcher::dispatch(const group_name& group)
{
    const auto found = m_context.state.queues.find(group);
    if (found == m_context.state.queues.end()) {
        return;
    }
    queue_cursor cursor(found->second, is_overloaded(m_context.now - *found->second.oldest_arrival()));
    std::vector<session_number> sent;
    while (const std::optional<queue_place> place = cursor.next()) {
        const session_number number = place->arrival.session;
        caller_session& session = m_context.state.sessions.at(number);
        if (session.pending->retry_at > m_context.now) {
            continue;
        }
        if (try_dispatch(number, session)) {
            sent.push_back(number);
        } else if (holds_up_lane(session)) {
            cursor.skip_lane();
        }
    }
    for (const session_number number : sent) {
        remove_from_queue(m_context.state.sessions.at(number));
    }
}

/// True when none of the statements behind this one in its lane can be sent either.
bool statement_dispatcher::holds_up_lane(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    return pending.tried_servers.empty() || (pending.needs_primary && !m_selector.uses_relay(session));
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

bool statement_dispatcher::try_dispatch(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (pending.connection != 0) {
        advance(pending.connection, session);
        return true;
    }
    const std::optional<connection_number> connection = m_selector.find_connection(session);
    if (!connection) {
        return false;
    }
    start_on_connection(*connection, number, session);
    return true;
}

void statement_dispatcher::start_on_connection(connection_number connection, session_number number,
                                               caller_session& session)
{
    m_connections.acquire(connection, number, session.pending->route.group);
    session.pending->connection = connection;
    ++session.pending->attempts;
    if (session.transaction) {
        session.transaction->connection = connection;
    }
    advance(connection, session);
}

void statement_dispatcher::advance(connection_number connection, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (m_connections.prepare(connection, session, pending)) {
        pending.stage = statement_stage::preparing;
        return;
    }
    pending.stage = statement_stage::running;
    pending.sent_at = m_context.now;
    m_connections.send_pending(connection, pending);
    trace_primary_use(*m_context.connection(connection), pending);
    schedule_check(m_context.connection(connection)->holder, session);
}

void statement_dispatcher::trace_primary_use(const server_connection& connection,
                                             const pending_statement& pending)
{
    const auto trace = m_context.state.primary_use_traces.find(connection.group);
    const bool is_at_primary =
        connection.sent_in_term != 0 || (pending.needs_primary && !connection.is_relay);
    if (!is_at_primary || trace == m_context.state.primary_use_traces.end()) {
        return;
    }
    if (trace->second.left == 0 || m_context.now >= trace->second.until) {
        m_context.state.primary_use_traces.erase(trace);
        return;
    }
    --trace->second.left;
    m_context.log(logging::log_level::information, "use_primary", connection.server.value,
                  fmt::format("id={} group={} {}", pending.request.id, connection.group.value,
                              m_context.belief_about(connection.group)));
}

void statement_dispatcher::handle_internal_response(connection_number number,
                                                    const statement_response& response)
{
    server_connection& connection = *m_context.connection(number);
    record_relay_response(connection);
    const statement executed = *connection.internal_statement;
    const bool is_rollback = executed.kind == statement_kind::rollback;
    if (response.code == response_code::done) {
        m_connections.apply_internal_result(connection);
    }
    const group_name group = connection.group;
    const bool is_relay = connection.is_relay;
    caller_session* session = connection.holder == 0 ? nullptr : m_context.session(connection.holder);
    const session_number holder = connection.holder;
    if (session == nullptr || !session->pending) {
        if (response.code != response_code::done ||
            (is_rollback && response.state != transaction_state::none)) {
            m_connections.close(number);
        } else {
            m_connections.release(number);
        }
        dispatch_after(group, is_relay);
        return;
    }
    if (response.code == response_code::done && has_lost_primary(connection, *session)) {
        m_connections.release(number);
        requeue(holder, *session, "the primary was replaced before the statement was sent");
        dispatch_after(group, is_relay);
        return;
    }
    if (response.code == response_code::done) {
        advance(number, *session);
        return;
    }
    handle_internal_failure(number, holder, *session, response);
    dispatch_after(group, is_relay);
}

/// True if the statement needs the primary, and the server that its connection was prepared for is no longer
/// usable as the primary.
bool statement_dispatcher::has_lost_primary(const server_connection& connection,
                                            const caller_session& session) const
{
    const group_view* known = m_context.group(connection.group);
    const bool is_usable =
        known != nullptr && known->primary == connection.server && m_context.is_primary_usable(*known);
    const bool has_started = session.transaction && session.transaction->has_run;
    return session.pending->needs_primary && !connection.is_relay && !has_started && !is_usable;
}

/// Handles an internal statement that failed and so kept the caller's statement from being sent.
void statement_dispatcher::handle_internal_failure(connection_number number, session_number holder,
                                                   caller_session& session,
                                                   const statement_response& response)
{
    server_connection& connection = *m_context.connection(number);
    const backend_server_name server = connection.server;
    const bool is_begin = connection.internal_statement->kind == statement_kind::begin ||
                          connection.internal_statement->kind == statement_kind::begin_read;
    const std::string reason =
        "refused before it ran: code=" + std::to_string(static_cast<int>(response.code));
    connection.internal_statement.reset();
    m_connections.back_off(server);
    m_selector.record_response(connection, response.code);
    record_refusal(*session.pending, server, response.code);
    // A failed begin leaves the connection unchanged. After any other failure its variables are unknown.
    if (is_begin && response.state == transaction_state::none) {
        m_connections.release(number);
    } else {
        m_connections.close(number);
    }
    requeue_or_abort(holder, session, reason);
}

/// Handles a connection that was lost before the statement was sent: the statement is queued for another
/// connection, unless its transaction has already run statements on the lost one.
void statement_dispatcher::requeue_or_abort(session_number number, caller_session& session,
                                            const std::string& reason)
{
    if (session.transaction && session.transaction->has_run) {
        resolve(number, session, std::nullopt, reason);
        return;
    }
    requeue(number, session, reason);
}

void statement_dispatcher::handle_response(connection_number number, statement_response response)
{
    server_connection& connection = *m_context.connection(number);
    const group_name group = connection.group;
    const bool is_relay = connection.is_relay;
    record_relay_response(connection);
    if (connection.sent_in_term != 0 && response.position &&
        m_context.is_term_usable(group, connection.sent_in_term)) {
        add_sample(m_context.state.position_samples[group], {connection.sent_at, *response.position},
                   m_context.now);
    }
    m_selector.record_response(connection, response.code);
    connection.is_in_transaction = response.state != transaction_state::none;
    m_connections.set_stage(number, connection, connection_stage::reserved);
    const session_number holder = connection.holder;
    caller_session* session = holder == 0 ? nullptr : m_context.session(holder);
    if (session == nullptr || !session->pending) {
        m_connections.release(number);
        dispatch_after(group, is_relay);
        return;
    }
    if (response.code != response_code::done) {
        if (!connection.is_relay) {
            m_connections.back_off(connection.server);
        }
        record_refusal(*session->pending, connection.server, response.code);
        if (response.code == response_code::unknown_statement) {
            connection.prepared_statements.clear();
        }
    }
    resolve(holder, *session, std::move(response), "");
    dispatch_after(group, is_relay);
}

void statement_dispatcher::handle_connection_loss(connection_number number, const std::string& reason)
{
    server_connection& connection = *m_context.connection(number);
    const group_name group = connection.group;
    const bool is_relay = connection.is_relay;
    const session_number holder = connection.holder;
    const bool was_opening = connection.stage == connection_stage::opening;
    server_load& load = m_context.state.server_loads[connection.server];
    if (was_opening) {
        load.connect_after = m_context.now + reconnect_backoff;
        load.unreachable_since = load.unreachable_since.value_or(connection.opened_at);
    }
    if (connection.is_relay) {
        load.avoid_until = m_context.now + (was_opening ? relay_backoff : refusal_backoff);
    }
    m_context.log(logging::log_level::warning, "link_lost", connection.server.value,
                  fmt::format("group={} link={} opening={} session={} reason=\"{}\"", group.value, number,
                              was_opening, holder, reason));
    suspect_if_primary(connection, reason);
    const backend_server_name server = connection.server;
    m_connections.remove_lost(number);
    caller_session* session = holder == 0 ? nullptr : m_context.session(holder);
    if (session != nullptr && session->transaction && session->transaction->connection == number) {
        session->transaction->connection = 0;
        if (!session->pending) {
            fail_transaction(*session);
        }
    }
    if (session != nullptr && session->pending && session->pending->connection == number) {
        session->pending->tried_servers.insert(server);
        if (session->pending->stage == statement_stage::running) {
            resolve(holder, *session, std::nullopt, reason);
        } else {
            requeue_or_abort(holder, *session, reason);
        }
    }
    dispatch_after(group, is_relay);
}

void statement_dispatcher::handle_connection_refusal(connection_number number, response_code code)
{
    const server_connection& connection = *m_context.connection(number);
    m_context.state.server_loads[connection.server].connect_after = m_context.now + reconnect_backoff;
    m_context.log(
        logging::log_level::information, "link_refused", connection.server.value,
        fmt::format("group={} link={} code={}", connection.group.value, number, static_cast<int>(code)));
    m_connections.close(number);
}

/// Returns a statement that has not run, or is safe to run again, to the queue for another server.
void statement_dispatcher::requeue(session_number number, caller_session& session, const std::string& reason)
{
    pending_statement& pending = *session.pending;
    if (session.transaction) {
        session.transaction->connection = 0;
    }
    pending.connection = 0;
    pending.stage = statement_stage::queued;
    pending.minimum_position.reset();
    pending.retry_at =
        pending.needs_primary && pending.attempts > 0 ? m_context.now + refusal_backoff : m_context.now;
    m_context.log(logging::log_level::information, "retry_statement", "",
                  fmt::format("id={} database={} attempts={} waited_ms={} reason=\"{}\"", pending.request.id,
                              session.database, pending.attempts,
                              (m_context.now - pending.request.received_at).count(), reason));
    add_to_queue(number, session);
}

void statement_dispatcher::resolve(session_number number, caller_session& session,
                                   std::optional<statement_response> response, const std::string& reason)
{
    pending_statement& pending = *session.pending;
    const connection_number connection = pending.connection;
    const bool has_connection = m_context.connection(connection) != nullptr;
    const bool is_open = response && response->state == transaction_state::open;
    const std::optional<response_code> code = response ? std::optional(response->code) : std::nullopt;
    switch (choose_action(scope_of(session), code, is_open)) {
    case response_action::forward_response:
        forward_response(number, session, std::move(*response));
        return;
    case response_action::try_another_server:
        if (is_too_late(pending, m_context.now) || was_refused_after_wait(pending, code)) {
            if (has_connection) {
                m_connections.release(connection);
            }
            reply_with_code(number, session, response_code::busy, "no server could run it in time");
            return;
        }
        requeue(number, session, response ? response->detail : reason);
        if (has_connection) {
            m_connections.release(connection);
        }
        return;
    case response_action::retry_on_same_connection:
        pending.stage = statement_stage::queued;
        pending.retry_at = m_context.now + refusal_backoff;
        add_to_queue(number, session);
        return;
    case response_action::report_aborted: {
        const bool is_commit = pending.request.body.kind == statement_kind::commit;
        if (is_commit) {
            end_transaction(session);
        } else {
            fail_transaction(session);
        }
        reply_with_code(number, session, response_code::aborted, reason);
        return;
    }
    case response_action::report_outcome_unknown:
        if (session.transaction) {
            end_transaction(session);
        }
        reply_with_code(number, session, response_code::outcome_unknown, reason);
        return;
    }
}

/// True when another entry host queued the statement for so long that the servers must be overloaded.
/// Retrying on yet another host would only add load.
bool statement_dispatcher::was_refused_after_wait(const pending_statement& pending,
                                                  const std::optional<response_code>& code) const
{
    const server_connection* connection = m_context.connection(pending.connection);
    return connection != nullptr && connection->is_relay && code == response_code::busy &&
           m_context.now - pending.sent_at >= overload_threshold;
}

void statement_dispatcher::forward_response(session_number number, caller_session& session,
                                            statement_response response)
{
    pending_statement& pending = *session.pending;
    const connection_number connection = pending.connection;
    const group_name group = pending.route.group;
    const statement_scope scope = scope_of(session);
    const bool is_commit = commits_writes(scope);
    if (is_commit && response.code == response_code::done &&
        m_context.state.connections.at(connection).is_relay) {
        // The host that ran the statement checks its own lease and reports the commit to control.
        session.commit_positions[group] =
            std::max(session.commit_positions[group], response.position.value_or(group_position{}));
    } else if (is_commit && response.code == response_code::done) {
        const group_term term = m_context.state.connections.at(connection).sent_in_term;
        if (!m_context.is_term_usable(group, term)) {
            m_context.log(
                logging::log_level::warning, "withhold_commit",
                m_context.state.connections.at(connection).server.value,
                fmt::format("id={} group={} sent_in_term={} {} reason=\"the term ended before the response "
                            "arrived\"",
                            pending.request.id, group.value, term, m_context.belief_about(group)));
            response = {{},
                        response_code::outcome_unknown,
                        "the primary was replaced",
                        response.state,
                        response.position};
        } else {
            record_commit(session, group, response);
        }
    }
    if (!session.transaction) {
        m_connections.release(connection);
    } else if (pending.request.body.kind == statement_kind::commit) {
        end_transaction(session);
    } else {
        session.transaction->has_run = true;
        session.transaction->has_written =
            session.transaction->has_written || !session.transaction->is_read_only;
        if (response.state != transaction_state::open) {
            fail_transaction(session);
        }
    }
    response.state = transaction_state_of(session);
    reply(number, session, std::move(response));
}

void statement_dispatcher::record_commit(caller_session& session, const group_name& group,
                                         const statement_response& response)
{
    if (!response.position) {
        return;
    }
    if (!session.is_relayed) {
        session.commit_positions[group] = std::max(session.commit_positions[group], *response.position);
    }
    m_context.state.commit_positions[group] =
        std::max(m_context.state.commit_positions[group], *response.position);
}

/// Removes the transaction; anything still open on its connection is rolled back.
void statement_dispatcher::end_transaction(caller_session& session)
{
    const connection_number connection = session.transaction->connection;
    session.transaction.reset();
    const server_connection* held = m_context.connection(connection);
    if (held == nullptr) {
        return;
    }
    const bool is_unanswered =
        held->stage == connection_stage::running || held->stage == connection_stage::preparing;
    if (is_unanswered) {
        m_connections.close(connection);
    } else {
        m_connections.release(connection);
    }
}

void statement_dispatcher::fail_transaction(caller_session& session)
{
    open_transaction failed = *session.transaction;
    end_transaction(session);
    failed.connection = 0;
    failed.is_failed = true;
    session.transaction = std::move(failed);
}

void statement_dispatcher::reply(session_number number, caller_session& session, statement_response response)
{
    if (session.pending) {
        const pending_statement& pending = *session.pending;
        const milliseconds took = m_context.now - pending.request.received_at;
        const server_connection* connection = m_context.connection(pending.connection);
        const bool ran_on_relay = connection != nullptr && connection->is_relay;
        m_context.emit(record_statement_metrics{
            session.database, response.code, pending.minimum_position.has_value() && !ran_on_relay,
            pending.is_read_only, took, ran_on_relay, pending.waited_for, session.customer});
        if (response.code != response_code::done) {
            m_context.log(logging::log_level::information, "refuse_statement", "",
                          fmt::format("id={} database={} group={} code={} stage={} attempts={} took_ms={} {} "
                                      "reason=\"{}\"",
                                      pending.request.id, session.database, pending.route.group.value,
                                      static_cast<int>(response.code), static_cast<int>(pending.stage),
                                      pending.attempts, took.count(),
                                      m_context.belief_about(pending.route.group), response.detail));
        }
        remove_from_queue(session);
        session.pending.reset();
    }
    if (response.position) {
        session.last_position = response.position;
    } else {
        response.position = session.last_position;
    }
    if (session.transaction) {
        session.transaction->last_used_at = m_context.now;
    }
    m_context.emit(send_response{number, std::move(response)});
    handle_next(number);
}

void statement_dispatcher::reply_with_code(session_number number, caller_session& session, response_code code,
                                           const std::string& detail)
{
    // These codes guarantee that no effect remains, which inside a transaction applies to the whole
    // transaction.
    const bool guarantees_no_effect = code == response_code::busy || code == response_code::aborted;
    if (guarantees_no_effect && session.transaction && !session.transaction->is_failed) {
        fail_transaction(session);
    }
    reply(number, session, {{}, code, detail, transaction_state_of(session), std::nullopt});
}

void statement_dispatcher::handle_next(session_number number)
{
    caller_session* session = m_context.session(number);
    if (session == nullptr || session->pending || session->pipelined_statements.empty()) {
        return;
    }
    const received_statement next = session->pipelined_statements.front();
    session->pipelined_statements.pop_front();
    handle_request(number, *session, next);
}

void statement_dispatcher::close(session_number number)
{
    m_context.state.opening_sessions.erase(number);
    caller_session* session = m_context.session(number);
    if (session == nullptr) {
        return;
    }
    if (session->pending) {
        remove_from_queue(*session);
    }
    const bool is_running = session->pending && session->pending->connection != 0;
    if (is_running && !session->transaction) {
        m_connections.abandon(session->pending->connection);
    }
    if (session->transaction) {
        end_transaction(*session);
    }
    m_context.state.sessions.erase(number);
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
            const bool is_retried = session->pending && session->pending->stage == statement_stage::queued &&
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

void statement_dispatcher::check_connection(connection_number number)
{
    const server_connection* connection = m_context.connection(number);
    const char* reason = connection == nullptr ? nullptr : overdue_reason(*connection, m_context.now);
    if (reason != nullptr) {
        m_context.emit(close_connection{number});
        handle_connection_loss(number, reason);
    }
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
    if (queue == m_context.state.queues.end() || !m_selector.is_isolated(group)) {
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
                            m_selector.is_isolated(*session.pending) && !m_selector.uses_relay(session);
    if (is_refused) {
        reply_with_code(number, session, response_code::busy,
                        "this host is cut off from the primary or from control");
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
                      fmt::format("database={} group={} idle_ms={}", session->database,
                                  session->transaction->route.group.value,
                                  (m_context.now - session->transaction->last_used_at).count()));
        fail_transaction(*session);
        session->transaction->has_expired = true;
    }
}

void statement_dispatcher::check_deadlines(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (pending.stage == statement_stage::queued && is_too_late(pending, m_context.now)) {
        pending.waited_for = find_wait_cause(m_context, pending, m_selector.uses_relay(session));
        reply_with_code(number, session, response_code::busy,
                        fmt::format("no server was free in time: {}", to_string(pending.waited_for)));
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
    const bool is_commit = commits_writes(scope);
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

void statement_dispatcher::record_relay_response(const server_connection& connection)
{
    if (connection.is_relay) {
        m_context.state.server_loads[connection.server].last_response_at = m_context.now;
    }
}

void statement_dispatcher::abandon_unanswered(session_number number, caller_session& session)
{
    const connection_number connection = session.pending->connection;
    session.pending->tried_servers.insert(m_context.connection(connection)->server);
    if (!m_context.connection(connection)->is_relay) {
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
        reply_with_code(number, session, response_code::timed_out, "no answer in time");
        return;
    }
    resolve(number, session, std::nullopt, "no answer in time");
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

void statement_dispatcher::close_idle_sessions(bool ends_transactions)
{
    std::vector<session_number> ended;
    for (auto& [number, session] : m_context.state.sessions) {
        if (ends_transactions && session.transaction && !session.transaction->is_failed && !session.pending) {
            fail_transaction(session);
        }
        if (!session.transaction && !session.pending) {
            ended.push_back(number);
        }
    }
    for (const session_number number : ended) {
        m_context.emit(close_session{number});
        close(number);
    }
}

void statement_dispatcher::close_all_sessions()
{
    std::vector<session_number> all;
    for (const auto& [number, session] : m_context.state.sessions) {
        all.push_back(number);
    }
    for (const session_number number : all) {
        caller_session& session = m_context.state.sessions.at(number);
        if (session.pending && session.pending->stage == statement_stage::queued) {
            session.pipelined_statements.clear();
            reply_with_code(number, session, response_code::busy, "the proxy stops");
        }
        m_context.emit(close_session{number});
        close(number);
    }
}

statement_scope statement_dispatcher::scope_of(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    if (!session.transaction) {
        return pending.is_read_only ? statement_scope::single_read : statement_scope::single_write;
    }
    if (pending.request.body.kind != statement_kind::commit) {
        return statement_scope::in_transaction;
    }
    return session.transaction->has_written ? statement_scope::commit_of_writes
                                            : statement_scope::commit_of_reads;
}

} // namespace hickorymount::sessions::detail
