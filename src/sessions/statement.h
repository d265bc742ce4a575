#pragma once

#include "base/identifier.h"
#include "session_token/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Statements and responses of a session, independent of their encoding.
namespace hickorymount::sessions {

using session_token::group_position;
using session_token::group_term;

enum class statement_kind
{
    begin,
    /// Begins a read-only transaction.
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_variable,
    prepare,
    execute,
    deallocate,
    /// This and all later kinds are internal to the proxy; callers may not send them. `reset` clears a
    /// session's variables and prepared statements, on backend servers and on relaying entry hosts.
    reset,
    /// This and all later kinds are for backend servers only.
    status,
    pause,
    resume,
    demote
};

/// A decoded statement.
struct statement
{
    statement_kind kind = statement_kind::read;
    /// The text as the caller sent it. If it is set, it is forwarded unchanged, unless a prepared statement
    /// has to be renamed.
    std::string text{};
    /// Name of a session variable or of a prepared statement.
    std::string name{};
    /// What follows the name: a variable's value, a prepared statement's template text, or the arguments of
    /// an execution.
    std::string argument{};
    /// For `prepare`: the prepared statement is read-only.
    bool is_read_only = false;
    /// For `pause` and `demote` only.
    group_term term = 0;

    friend bool operator==(const statement&, const statement&) = default;
};

enum class transaction_state
{
    none,
    open,
    /// Only a commit or rollback is accepted, and both roll back.
    failed
};

enum class response_code
{
    done,
    /// `busy` to `limit_reached`: no effect of the attempt remains.
    busy,
    aborted,
    lagging,
    read_only,
    misrouted,
    too_many_connections,
    /// The operation is beyond the limit of the caller's customer.
    limit_reached,
    /// `outcome_unknown` to `failed`: the statement may have taken effect.
    outcome_unknown,
    timed_out,
    failed,
    /// `unknown_statement` to `not_authorized`: the statement itself was invalid and has not run.
    unknown_statement,
    malformed,
    unknown_database,
    /// The caller's key belongs to no customer.
    not_authorized
};

/// Whose statement an entry host relays to another one. Relay connections serve callers of all customers in
/// turn.
struct relayed_caller
{
    std::string database;
    /// Empty on public routes.
    customer_name customer;

    friend bool operator==(const relayed_caller&, const relayed_caller&) = default;
};

/// A complete response, from a backend server or to a caller.
struct statement_response
{
    std::vector<std::string> rows;
    response_code code = response_code::done;
    /// The server's signature after `done`; otherwise a human-readable text.
    std::string detail;
    transaction_state state = transaction_state::none;
    std::optional<group_position> position;

    friend bool operator==(const statement_response&, const statement_response&) = default;
};

/// A backend server's response to a `status` statement.
struct server_status
{
    bool is_primary = false;
    /// The newest position that the server has received, in the server's current term.
    group_position received_position;

    friend bool operator==(const server_status&, const server_status&) = default;
};

} // namespace hickorymount::sessions
