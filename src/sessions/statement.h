#pragma once

#include "session/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Statements and answers of a session, apart from their encoding.
namespace hickorymount::sessions {

using session::group_position;
using session::group_term;

enum class statement_kind
{
    begin,
    /// Begins a transaction that only reads.
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    /// The rest are the proxy's own. Forgets a session's values and prepared statements; entry hosts ask one
    /// another for it as well.
    reset,
    /// For backend servers only.
    status,
    pause,
    resume,
    demote
};

struct statement
{
    statement_kind kind = statement_kind::read;
    /// As the caller sent it; forwarded unchanged where it is set and nothing has to be renamed.
    std::string text{};
    /// Of a value or a prepared statement.
    std::string name{};
    /// What follows the name: a value, a prepared statement's shape, or the arguments of an execution.
    std::string argument{};
    /// Of a prepared statement: it only reads.
    bool only_reads = false;
    /// Of `pause` and `demote`.
    group_term term = 0;

    friend bool operator==(const statement&, const statement&) = default;
};

enum class transaction_state
{
    none,
    open,
    /// Ending it rolls back; nothing else is taken.
    failed
};

enum class answer_code
{
    done,
    /// These promise that nothing of the attempt is kept.
    busy,
    aborted,
    lagging,
    read_only,
    misrouted,
    too_many,
    /// These promise nothing.
    outcome_unknown,
    timed_out,
    failed,
    /// These are about the statement itself; nothing has run.
    unknown_statement,
    malformed,
    unknown_database
};

/// A whole answer, from a backend server or to a caller.
struct answer
{
    std::vector<std::string> rows;
    answer_code code = answer_code::done;
    /// The server's signature after `done`, otherwise a text for people.
    std::string detail;
    transaction_state state = transaction_state::none;
    std::optional<group_position> at;

    friend bool operator==(const answer&, const answer&) = default;
};

/// What a backend server says of itself when it is asked for its status.
struct server_status
{
    bool is_primary = false;
    /// The newest position that it has received, in the term that it holds.
    group_position received;

    friend bool operator==(const server_status&, const server_status&) = default;
};

} // namespace hickorymount::sessions
