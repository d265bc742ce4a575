#include "sessions/internal/response_action.h"

namespace hickorymount::sessions::detail {

namespace {

response_action choose_action_after_loss(statement_scope scope)
{
    switch (scope) {
    case statement_scope::single_read:
        return response_action::try_another_server;
    case statement_scope::in_transaction:
    case statement_scope::commit_of_reads:
        // The server rolls back the open transaction when its connection is closed.
        return response_action::report_aborted;
    case statement_scope::single_write:
    case statement_scope::commit_of_writes:
        return response_action::report_outcome_unknown;
    }
    return response_action::report_outcome_unknown;
}

} // namespace

bool is_not_run(response_code code)
{
    switch (code) {
    case response_code::busy:
    case response_code::lagging:
    case response_code::read_only:
    case response_code::misrouted:
    case response_code::too_many_connections:
    case response_code::unknown_statement:
    // An entry host that has an older configuration may not know the customer yet.
    case response_code::not_authorized:
        return true;
    default:
        return false;
    }
}

bool commits_writes(statement_scope scope)
{
    return scope == statement_scope::single_write || scope == statement_scope::commit_of_writes;
}

bool adds_load_when_retried(std::optional<response_code> code)
{
    return !code || *code == response_code::busy || *code == response_code::too_many_connections ||
           *code == response_code::failed || *code == response_code::timed_out;
}

response_action choose_action(statement_scope scope, std::optional<response_code> code,
                              bool is_transaction_open)
{
    if (!code) {
        return choose_action_after_loss(scope);
    }
    const bool is_single = scope == statement_scope::single_read || scope == statement_scope::single_write;
    if (is_single && is_not_run(*code)) {
        return response_action::try_another_server;
    }
    const bool may_run_again = *code == response_code::failed || *code == response_code::timed_out;
    if (scope == statement_scope::single_read && may_run_again) {
        return response_action::try_another_server;
    }
    if (!is_single && *code == response_code::busy && is_transaction_open) {
        return response_action::retry_on_same_connection;
    }
    return response_action::forward_response;
}

} // namespace hickorymount::sessions::detail
