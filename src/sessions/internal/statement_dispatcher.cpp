#include "sessions/internal/statement_dispatcher.h"

#include "logging/fields.h"
#include "sessions/internal/operation_limit.h"
#include "sessions/internal/position_samples.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/relay_deadline.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

bool is_handled_locally(statement_kind kind)
{
    return kind == statement_kind::set_variable || kind == statement_kind::prepare ||
           kind == statement_kind::deallocate;
}

/// Excludes the server from further attempts of the statement. If it lacked the required position, the
/// statement goes to the primary, which has it.
void record_refusal(pending_statement& pending, const backend_server_name& server, response_code code)
{
    pending.tried_servers.insert(server);
    pending.needs_primary = pending.needs_primary || code == response_code::lagging;
}

/// True if the server has run a statement of an open transaction without one.
bool has_run_outside(const server_connection& connection, const caller_session& session,
                     const statement_response& response)
{
    return session.pending && session.transaction && connection.is_in_transaction &&
           session.pending->request.body.kind != statement_kind::commit &&
           response.code == response_code::done && response.state == transaction_state::none;
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
    received_statement request;
    request.received_at = m_context.now;
    request.is_malformed = true;
    submit(number, std::move(request));
}

void statement_dispatcher::handle_request(session_number number, caller_session& session,
                                          const received_statement& request)
{
    if (request.is_malformed) {
        reply_with_code(number, session, response_code::malformed, "not a statement");
        return;
    }
    if (!authorize(session, request)) {
        refuse_unauthorized(number, session);
        return;
    }
    if (handle_locally(number, session, request)) {
        return;
    }
    const operation_admission admission = count_operation(m_context, session);
    if (admission == operation_admission::refused) {
        reply_with_code(number, session, response_code::limit_reached,
                        refuse_operation(m_context, session.customer));
        return;
    }
    enqueue(number, session, request, admission == operation_admission::awaits_quota);
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
        const response_code commit_code =
            session.transaction->is_outcome_unknown ? response_code::outcome_unknown : response_code::aborted;
        end_transaction(session);
        reply_with_code(number, session,
                        body.kind == statement_kind::commit ? commit_code : response_code::done,
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
                                   const received_statement& request, bool awaits_quota)
{
    pending_statement pending;
    pending.request = request;
    pending.awaits_quota = awaits_quota;
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
    const milliseconds time_limit = pending.route.statement_timeout;
    pending.deadline = session.is_relayed
                           ? relayed_deadline(request.received_at, time_limit, request.remaining_time)
                           : request.received_at + time_limit;
    pending.retry_at = m_context.now;
    const group_name group = pending.route.group;
    session.pending = std::move(pending);
    retry_budget& budget = m_context.state.retry_budgets[session.customer];
    budget = after_first_attempt(budget, m_context.now);
    add_to_queue(number, session);
    dispatch(group);
    if (m_context.queued_count(group) == 1) {
        end_idle_transactions(group);
    }
    // The dispatch may have answered the statement and taken up the session's next one.
    if (caller_session* current = m_context.session(number)) {
        refuse_if_hopeless(number, *current);
    }
    if (caller_session* current = m_context.session(number)) {
        refuse_if_isolated(number, *current);
    }
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
    pending.may_run_outside = may_run_outside(*m_context.connection(connection), session);
    pending.sent_at = m_context.now;
    pending.first_sent_at = pending.first_sent_at.value_or(m_context.now);
    m_connections.send_pending(connection, pending);
    trace_primary_use(*m_context.connection(connection), pending);
    schedule_check(m_context.connection(connection)->holder, session);
}

/// True for a write that commits by itself if the transaction was not begun, which is in doubt.
bool statement_dispatcher::may_run_outside(const server_connection& connection,
                                           const caller_session& session) const
{
    const statement& body = session.pending->request.body;
    const bool is_write =
        body.kind == statement_kind::write ||
        (body.kind == statement_kind::execute && !session.prepared_statements.at(body.name).is_read_only);
    return is_write && session.transaction && !session.transaction->has_run &&
           !session.transaction->is_read_only && connection.answers.doubt > 0;
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
                  fmt::format("id={} group={} {}", logging::value(pending.request.id), connection.group.value,
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
    if (response.code == response_code::done && is_too_late_to_send(*session)) {
        refuse_unprepared(holder, *session);
        dispatch_after(group, is_relay);
        return;
    }
    if (response.code == response_code::done) {
        advance(number, *session);
        return;
    }
    handle_internal_failure(number, holder, *session, response, true);
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

/// Handles an internal statement that failed and so kept the caller's statement from being sent. If the
/// refusal may be another statement's (`is_own` is false), the connection is closed.
void statement_dispatcher::handle_internal_failure(connection_number number, session_number holder,
                                                   caller_session& session,
                                                   const statement_response& response, bool is_own)
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
    if (is_begin && is_own && response.state == transaction_state::none) {
        m_connections.release(number);
    } else {
        m_connections.close(number);
    }
    if (adds_load_when_retried(response.code) && !(session.transaction && session.transaction->has_run) &&
        !take_retry(session)) {
        if (session.transaction) {
            session.transaction->connection = 0;
        }
        refuse_retry(holder, session);
        return;
    }
    requeue_or_abort(holder, session, reason);
}

void statement_dispatcher::handle_response(connection_number number, statement_response response)
{
    server_connection& connection = *m_context.connection(number);
    const group_name group = connection.group;
    const bool is_relay = connection.is_relay;
    caller_session* session = connection.holder == 0 ? nullptr : m_context.session(connection.holder);
    if (session != nullptr && has_run_outside(connection, *session, response)) {
        session->pending->may_run_outside = session->pending->request.body.kind != statement_kind::read;
        m_context.log(logging::log_level::warning, "statement_outside_transaction", connection.server.value,
                      fmt::format("id={} group={} link={}", logging::value(session->pending->request.id),
                                  group.value, number));
        close_untrusted(number, "the statement ran outside its transaction");
        return;
    }
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
    if (session == nullptr || !session->pending) {
        m_connections.release(number);
        dispatch_after(group, is_relay);
        return;
    }
    session->pending->may_run_outside = false;
    record_finished(*session->pending, response.code);
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

void statement_dispatcher::handle_connection_loss(connection_number number, const std::string& reason,
                                                  bool is_unreadable)
{
    const server_connection connection = *m_context.connection(number);
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
                  fmt::format("group={} link={} opening={} session={} reason={}", connection.group.value,
                              number, was_opening, connection.holder, logging::quoted(reason)));
    if (!is_unreadable) {
        suspect_if_primary(connection, reason);
    }
    m_connections.remove_lost(number);
    end_work_on(number, connection, reason);
}

void statement_dispatcher::close_untrusted(connection_number number, const std::string& reason)
{
    const server_connection connection = *m_context.connection(number);
    m_connections.close(number);
    end_work_on(number, connection, reason);
}

void statement_dispatcher::handle_ambiguous_refusal(connection_number number,
                                                    const statement_response& response)
{
    const server_connection connection = *m_context.connection(number);
    const session_number holder = connection.holder;
    caller_session* session = holder == 0 ? nullptr : m_context.session(holder);
    if (session == nullptr || !session->pending || session->pending->connection != number) {
        close_untrusted(number, "a refusal that may be another statement's");
        return;
    }
    if (connection.internal_statement) {
        handle_internal_failure(number, holder, *session, response, false);
        dispatch_after(connection.group, connection.is_relay);
        return;
    }
    const bool runs_again = scope_of(*session) == statement_scope::single_read &&
                            choose_action(statement_scope::single_read, response.code, false) ==
                                response_action::try_another_server;
    if (!runs_again) {
        close_untrusted(number, "a refusal that may be another statement's");
        return;
    }
    // A read may run again whether or not the refusal is its own, so the refusal counts as usual.
    m_selector.record_response(connection, response.code);
    m_connections.back_off(connection.server);
    record_finished(*session->pending, response.code);
    record_refusal(*session->pending, connection.server, response.code);
    m_connections.close(number);
    resolve(holder, *session, response, "");
    dispatch_after(connection.group, connection.is_relay);
}

/// Ends or requeues the work of a connection that is gone.
void statement_dispatcher::end_work_on(connection_number number, const server_connection& closed,
                                       const std::string& reason)
{
    const session_number holder = closed.holder;
    caller_session* session = holder == 0 ? nullptr : m_context.session(holder);
    if (session != nullptr && session->transaction && session->transaction->connection == number) {
        session->transaction->connection = 0;
        if (!session->pending) {
            fail_transaction(*session);
        }
    }
    if (session != nullptr && session->pending && session->pending->connection == number) {
        session->pending->tried_servers.insert(closed.server);
        if (session->pending->stage == statement_stage::running) {
            resolve(holder, *session, std::nullopt, reason);
        } else {
            requeue_or_abort(holder, *session, reason);
        }
    }
    dispatch_after(closed.group, closed.is_relay);
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
        if (code == response_code::lagging && m_selector.is_misplaced(session)) {
            if (has_connection) {
                m_connections.release(connection);
            }
            reply_with_code(number, session, response_code::lagging, "no server here has the position");
            return;
        }
        if (is_too_late(pending, m_context.now) || was_refused_after_wait(pending, code)) {
            if (has_connection) {
                m_connections.release(connection);
            }
            reply_with_code(number, session, response_code::busy, "no server could run it in time");
            return;
        }
        if (adds_load_when_retried(code) && !take_retry(session)) {
            if (has_connection) {
                m_connections.release(connection);
            }
            refuse_retry(number, session);
            return;
        }
        requeue(number, session, response ? response->detail : reason);
        if (has_connection) {
            m_connections.release(connection);
        }
        return;
    case response_action::retry_on_same_connection:
        // The refusal of a transaction in progress would waste what it has done, so it only uses the budget.
        take_retry(session);
        pending.stage = statement_stage::queued;
        pending.retry_at = m_context.now + refusal_backoff;
        add_to_queue(number, session);
        return;
    case response_action::report_aborted:
        report_aborted(number, session, reason);
        return;
    case response_action::report_outcome_unknown:
        if (session.transaction && pending.request.body.kind == statement_kind::commit) {
            end_transaction(session);
        } else if (session.transaction) {
            fail_transaction(session);
            session.transaction->is_outcome_unknown = true;
        }
        reply_with_code(number, session, response_code::outcome_unknown, reason);
        return;
    }
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
                            logging::value(pending.request.id), group.value, term,
                            m_context.belief_about(group)));
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
            pending.is_read_only, took, ran_on_relay, pending.waited_for, session.customer,
            pending.first_sent_at ? std::optional(*pending.first_sent_at - pending.request.received_at)
                                  : std::nullopt});
        if (response.code != response_code::done) {
            m_context.log(logging::log_level::information, "refuse_statement", "",
                          fmt::format("id={} database={} group={} code={} stage={} attempts={} took_ms={} {} "
                                      "reason={}",
                                      logging::value(pending.request.id), logging::value(session.database),
                                      pending.route.group.value, static_cast<int>(response.code),
                                      static_cast<int>(pending.stage), pending.attempts, took.count(),
                                      m_context.belief_about(pending.route.group),
                                      logging::quoted(response.detail)));
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
    const bool guarantees_no_effect =
        code == response_code::busy || code == response_code::aborted || code == response_code::limit_reached;
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

void statement_dispatcher::record_relay_response(const server_connection& connection)
{
    if (connection.is_relay) {
        m_context.state.server_loads[connection.server].last_response_at = m_context.now;
    }
}

statement_scope statement_dispatcher::scope_of(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    if (pending.may_run_outside) {
        return statement_scope::single_write;
    }
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
