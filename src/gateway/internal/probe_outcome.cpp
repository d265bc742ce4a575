#include "gateway/internal/probe_outcome.h"

namespace hickorymount::gateway::detail {

namespace {

/// With the pause between them, a little less than control waits for positions at the least.
constexpr int max_attempts = 12;

} // namespace

probe_step judge_probe(bool asks_for_position, sessions::statement_kind asked,
                       const std::optional<sessions::answer_code>& code, bool has_status, int attempts)
{
    if (has_status || !asks_for_position) {
        return probe_step::report;
    }
    const bool is_busy = !code || *code == sessions::answer_code::busy;
    if (is_busy) {
        return attempts < max_attempts ? probe_step::ask_again : probe_step::give_up;
    }
    return asked == sessions::statement_kind::pause ? probe_step::ask_status : probe_step::give_up;
}

} // namespace hickorymount::gateway::detail
