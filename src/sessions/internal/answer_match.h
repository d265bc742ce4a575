#pragma once

#include "sessions/answer_history.h"
#include "sessions/types.h"

#include <string_view>

namespace hickorymount::sessions::detail {

/// What the connection waits for.
enum class expected_answer
{
    nothing,
    /// The answer to one of the proxy's internal statements.
    without_signature,
    /// The answer to a caller's statement.
    with_signature
};

struct answer_expectation
{
    expected_answer kind = expected_answer::nothing;
    /// The transaction state that follows from an internal statement.
    transaction_state state = transaction_state::none;
    bool changes_state = false;
    /// The other side is an entry host, which answers each statement once.
    bool is_answered_once = false;

    friend bool operator==(const answer_expectation&, const answer_expectation&) = default;
};

answer_expectation expectation_of(const server_connection& connection);

struct answer_match
{
    answer_origin origin = answer_origin::own;
    /// The history with the answer.
    answer_history history;

    friend bool operator==(const answer_match&, const answer_match&) = default;
};

/// Decides which statement the response answers. Neither time nor equal content is a sign: a repeat may come
/// at any moment, with the state and position of that moment.
answer_match match_answer(answer_history history, const answer_expectation& expected,
                          const statement_response& response);

/// True when the connection has to be replaced, since no more signatures are remembered.
bool is_full(const answer_history& history);

} // namespace hickorymount::sessions::detail
