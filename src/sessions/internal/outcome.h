#pragma once

#include "sessions/statement.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// What a statement that was sent to a backend server could change there.
enum class statement_scope
{
    /// A read outside a transaction.
    single_read,
    /// A write outside a transaction.
    single_write,
    /// Any statement of a transaction but its commit.
    in_transaction,
    /// The commit of a transaction that only read.
    commit_of_reads,
    /// The commit of a transaction that wrote.
    commit_of_writes
};

enum class verdict
{
    /// The caller gets the server's answer.
    pass_on,
    /// Nothing has run, or running again does no harm: another server may be tried.
    try_elsewhere,
    /// Nothing has run: the same connection may be asked again.
    try_again_here,
    /// The caller is told that nothing is kept.
    tell_aborted,
    /// The caller is told that the outcome is unknown.
    tell_unknown
};

/// What follows from a server's answer to a statement that was sent. Without `code`, the connection was lost
/// or the answer did not come in time. `is_transaction_open` is what the server said after the answer.
verdict judge(statement_scope scope, std::optional<answer_code> code, bool is_transaction_open);

} // namespace hickorymount::sessions::detail
