#pragma once

#include "sessions/internal/event_context.h"

namespace hickorymount::sessions::detail {

/// Returns what the queued statement waits for. `uses_relay` is true if another entry host has to run it.
wait_cause find_wait_cause(const event_context& context, const pending_statement& pending, bool uses_relay);

} // namespace hickorymount::sessions::detail
