#pragma once

#include "sessions/statement.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// What a statement sent to a backend server may have changed there.
enum class statement_scope
{
    /// A read outside a transaction.
    single_read,
    /// A write outside a transaction.
    single_write,
    /// Any statement of a transaction except its commit.
    in_transaction,
    /// The commit of a read-only transaction.
    commit_of_reads,
    /// The commit of a transaction that wrote.
    commit_of_writes
};

/// True for a statement that commits writes when it succeeds.
bool commits_writes(statement_scope scope);

/// True when the code guarantees that the server has not run the statement.
bool is_not_run(response_code code);

/// True when a retry after the response, or after none, adds load to servers that may be overloaded. The
/// other refusals say that the statement belongs to another server.
bool adds_load_when_retried(std::optional<response_code> code);

/// What the proxy does with a server's response.
enum class response_action
{
    /// The caller gets the server's response.
    forward_response,
    /// The statement has not run, or is safe to run again: another server may be tried.
    try_another_server,
    /// The statement has not run: it may be sent again on the same connection.
    retry_on_same_connection,
    /// The caller is told that the transaction was aborted.
    report_aborted,
    /// The caller is told that the outcome is unknown.
    report_outcome_unknown
};

/// Decides what to do after a statement was sent. `code` is empty when the connection was lost or the
/// response did not arrive in time. `is_transaction_open` is the transaction state reported with the
/// response.
response_action choose_action(statement_scope scope, std::optional<response_code> code,
                              bool is_transaction_open);

} // namespace hickorymount::sessions::detail
