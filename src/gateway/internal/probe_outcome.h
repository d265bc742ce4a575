#pragma once

#include "sessions/statement.h"

#include <optional>

namespace hickorymount::gateway::detail {

enum class probe_step
{
    /// The server runs; its status, when there is one, is known.
    report,
    /// The same is asked again after a pause.
    ask_again,
    /// A server that is no replica takes no pause; its status is asked for instead.
    ask_status,
    /// Nothing can be said.
    give_up
};

/// What an answer to a probe means. A probe for the position of a candidate must not be taken for answered
/// without one: the candidate would seem to hold nothing, and a server that lacks commits be preferred to it.
probe_step judge_probe(bool asks_for_position, sessions::statement_kind asked,
                       const std::optional<sessions::answer_code>& code, bool has_status, int attempts);

} // namespace hickorymount::gateway::detail
