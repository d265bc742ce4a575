#include "gateway/internal/probe_step.h"

namespace hickorymount::gateway::detail {

namespace {

/// With the pause between attempts, slightly less than control's shortest wait for positions.
constexpr int max_attempts = 12;

} // namespace

probe_step next_probe_step(bool requests_position, sessions::statement_kind sent,
                           const std::optional<sessions::response_code>& code, bool has_status, int attempts)
{
    if (has_status || !requests_position) {
        return probe_step::report;
    }
    const bool is_busy = !code || *code == sessions::response_code::busy;
    if (is_busy) {
        return attempts < max_attempts ? probe_step::retry : probe_step::give_up;
    }
    return sent == sessions::statement_kind::pause ? probe_step::request_status : probe_step::give_up;
}

} // namespace hickorymount::gateway::detail
