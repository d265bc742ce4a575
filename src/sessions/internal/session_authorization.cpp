#include "logging/fields.h"
#include "sessions/internal/customer_identity.h"
#include "sessions/internal/statement_dispatcher.h"

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

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
    const bool changes_in_transaction = session.transaction && customer != session.customer;
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
                  fmt::format("database={} customer={} relayed={}", logging::value(session.database),
                              logging::value(session.customer.value), is_relayed));
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

/// False if the key of the session was withdrawn, or now belongs to another customer than the work that the
/// session has begun.
bool statement_dispatcher::is_still_authorized(const caller_session& session) const
{
    if (session.is_relayed) {
        return true;
    }
    const std::optional<customer_name> owner = customer_of_caller(m_context.state, session);
    const bool has_work = session.pending || session.transaction;
    return owner && (!has_work || *owner == session.customer);
}

/// Ends what the sessions of withdrawn keys still have: idle sessions are closed, queued statements refused,
/// and open transactions rolled back. A statement in service gets its response.
void statement_dispatcher::end_unauthorized_sessions()
{
    std::vector<session_number> ended;
    for (const auto& [number, session] : m_context.state.sessions) {
        if (!is_still_authorized(session)) {
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

} // namespace hickorymount::sessions::detail
