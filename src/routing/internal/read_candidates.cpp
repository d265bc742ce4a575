#include "routing/internal/read_candidates.h"

#include <algorithm>

namespace hickorymount::routing::detail {

namespace {

constexpr std::int64_t milliseconds_in_second = 1000;

} // namespace

session_token::group_position required_position(const request_state& request)
{
    const auto seen = request.input.token.positions.find(request.input.group);
    return seen == request.input.token.positions.end() ? session_token::group_position{} : seen->second;
}

std::vector<read_candidate> read_candidates(const event_context& context, const request_state& request,
                                            const group_state& group)
{
    const session_token::group_position needed = required_position(request);
    const bool needs_lease = request.settings.max_age.has_value();
    std::vector<read_candidate> candidates;
    for (const backend_server_name& name : group.members) {
        const server_state& server = *context.state.servers.find(name);
        const protocol::server_report& report = server.report;
        const milliseconds time_since_report = context.now - server.last_report_at;
        const bool is_primary = name == group.record.primary;
        const bool is_usable = report.position.term == group.record.term && !report.is_leaving &&
                               context.now >= server.avoid_until && time_since_report < report_timeout &&
                               (!needs_lease || context.has_lease());
        if (!is_usable || (is_primary && !context.is_term_usable(group))) {
            continue;
        }
        const auto records_gained = static_cast<protocol::log_position>(std::max<std::int64_t>(
            0, server.records_per_second * time_since_report.count() / milliseconds_in_second));
        read_candidate candidate;
        candidate.name = name;
        candidate.is_primary = is_primary;
        candidate.is_in_same_zone = report.zone == context.state.zone;
        candidate.satisfies_session = is_primary || report.position.position >= needed.position;
        candidate.probably_satisfies_session = !request.lagging_servers.contains(name) &&
                                               report.position.position + records_gained >= needed.position;
        candidate.is_within_max_age =
            is_primary || !needs_lease || report.data_age + time_since_report <= *request.settings.max_age;
        candidate.idle_connections = static_cast<std::uint32_t>(server.connections.idle.size());
        candidate.busy_connections = static_cast<std::uint32_t>(server.connections.busy.size());
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

} // namespace hickorymount::routing::detail
