#pragma once

#include "sessions/statement.h"

#include <optional>

namespace hickorymount::gateway::detail {

/// What follows a response to a probe.
enum class probe_step
{
    /// Report that the server is running, with its status if the response contains one.
    report,
    /// Send the same statement again after a pause.
    retry,
    /// Request the status instead: only a replica accepts `pause`.
    request_status,
    /// Report that the server did not respond.
    give_up
};

/// Decides what follows a response to a probe. A probe for a candidate's position must not be reported
/// without a position: the candidate would appear to have an empty log, and a server that lacks commits would
/// be preferred. `code` is empty if the server refused the session.
probe_step next_probe_step(bool requests_position, sessions::statement_kind sent,
                           const std::optional<sessions::response_code>& code, bool has_status, int attempts);

} // namespace hickorymount::gateway::detail
