#include "logging/fields.h"
#include "sessions/internal/queue_order.h"
#include "sessions/internal/statement_dispatcher.h"

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Pause before the next round when every server has refused a statement.
constexpr milliseconds full_round_backoff{100};

} // namespace

/// Handles a connection that was lost before the statement was sent: the statement is queued for another
/// connection, unless its transaction has already run statements on the lost one. The server rolls these
/// back, so that the outcome is known, even that of a commit.
void statement_dispatcher::requeue_or_abort(session_number number, caller_session& session,
                                            const std::string& reason)
{
    if (session.transaction && session.transaction->has_run) {
        report_aborted(number, session, reason);
        return;
    }
    requeue(number, session, reason);
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
    if (m_selector.has_tried_all(session)) {
        pending.tried_servers.clear();
        pending.retry_at = m_context.now + full_round_backoff;
    }
    m_context.log(logging::log_level::information, "retry_statement", "",
                  fmt::format("id={} database={} attempts={} waited_ms={} reason={}",
                              logging::value(pending.request.id), logging::value(session.database),
                              pending.attempts, (m_context.now - pending.request.received_at).count(),
                              logging::quoted(reason)));
    add_to_queue(number, session);
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

void statement_dispatcher::report_aborted(session_number number, caller_session& session,
                                          const std::string& reason)
{
    if (session.pending->request.body.kind == statement_kind::commit) {
        end_transaction(session);
    } else {
        fail_transaction(session);
    }
    reply_with_code(number, session, response_code::aborted, reason);
}

/// Takes a retry from the customer's budget. False if it is used up.
bool statement_dispatcher::take_retry(const caller_session& session)
{
    retry_budget& budget = m_context.state.retry_budgets[session.customer];
    const bool is_allowed = allows_retry(budget, m_context.now);
    budget = after_retry(budget, m_context.now);
    return is_allowed;
}

void statement_dispatcher::refuse_retry(session_number number, caller_session& session)
{
    session.pending->waited_for = wait_cause::no_retry_left;
    reply_with_code(number, session, response_code::busy, "no server could run it, and no retry is left");
}

} // namespace hickorymount::sessions::detail
