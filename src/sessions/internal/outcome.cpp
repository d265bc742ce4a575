#include "sessions/internal/outcome.h"

namespace hickorymount::sessions::detail {

namespace {

/// The server has not run the statement.
bool is_not_run(answer_code code)
{
    switch (code) {
    case answer_code::busy:
    case answer_code::lagging:
    case answer_code::read_only:
    case answer_code::misrouted:
    case answer_code::too_many:
    case answer_code::unknown_statement:
        return true;
    default:
        return false;
    }
}

verdict judge_lost(statement_scope scope)
{
    switch (scope) {
    case statement_scope::single_read:
        return verdict::try_elsewhere;
    case statement_scope::in_transaction:
    case statement_scope::commit_of_reads:
        // The server rolls back what a closed connection leaves open.
        return verdict::tell_aborted;
    case statement_scope::single_write:
    case statement_scope::commit_of_writes:
        return verdict::tell_unknown;
    }
    return verdict::tell_unknown;
}

} // namespace

verdict judge(statement_scope scope, std::optional<answer_code> code, bool is_transaction_open)
{
    if (!code) {
        return judge_lost(scope);
    }
    const bool is_single = scope == statement_scope::single_read || scope == statement_scope::single_write;
    if (is_single && is_not_run(*code)) {
        return verdict::try_elsewhere;
    }
    const bool may_run_again = *code == answer_code::failed || *code == answer_code::timed_out;
    if (scope == statement_scope::single_read && may_run_again) {
        return verdict::try_elsewhere;
    }
    if (!is_single && *code == answer_code::busy && is_transaction_open) {
        return verdict::try_again_here;
    }
    return verdict::pass_on;
}

} // namespace hickorymount::sessions::detail
