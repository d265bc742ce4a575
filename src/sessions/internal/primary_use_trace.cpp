#include "sessions/internal/primary_use_trace.h"

namespace hickorymount::sessions::detail {

namespace {

constexpr milliseconds trace_duration{1000};
constexpr std::uint32_t max_traced_statements = 16;

} // namespace

void start_primary_use_traces(session_state& state, const traffic_view& before, time_point now)
{
    const bool is_lease_regained = now >= before.lease_until && now < state.view->lease_until;
    for (const auto& [name, group] : state.view->groups) {
        const auto known = before.groups.find(name);
        const bool is_changed =
            known != before.groups.end() &&
            (is_lease_regained || known->second.term != group.term || known->second.is_open != group.is_open);
        if (is_changed) {
            state.primary_use_traces[name] = {now + trace_duration, max_traced_statements};
        }
    }
}

} // namespace hickorymount::sessions::detail
