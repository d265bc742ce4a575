#include "sessions/internal/statement_dispatcher.h"

namespace hickorymount::sessions::detail {

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
