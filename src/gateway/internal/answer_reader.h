#pragma once

#include "sessions/session_codec.h"

namespace hickorymount::gateway::detail {

/// The part of an answer that has arrived on a connection to a server.
struct partial_answer
{
    /// The answer to the opening line has arrived.
    bool is_open = false;
    bool has_outcome = false;
    sessions::statement_response response;

    friend bool operator==(const partial_answer&, const partial_answer&) = default;
};

enum class read_step
{
    /// The answer goes on.
    incomplete,
    opened,
    /// The server refused the session; `response` has the code.
    refused,
    /// `response` is complete.
    answered,
    /// A second answer to the opening line.
    opened_again,
    /// The message does not follow from those before it.
    unreadable
};

/// Adds a server's message to the answer. An answer is any number of rows, one outcome and the session's
/// state, in this order.
read_step append(partial_answer& answer, sessions::server_line message);

} // namespace hickorymount::gateway::detail
