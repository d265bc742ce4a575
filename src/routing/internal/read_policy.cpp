#include "routing/read_policy.h"

#include <tuple>

namespace hickorymount::routing {

namespace {

/// Number of connections to the primary that reads leave free for writes.
constexpr std::uint32_t reserved_for_writes = 1;

bool has_free_connection(const read_candidate& candidate)
{
    const bool is_shared = candidate.idle_connections + candidate.busy_connections > reserved_for_writes;
    const std::uint32_t reserved = candidate.is_primary && is_shared ? reserved_for_writes : 0;
    return candidate.idle_connections > reserved;
}

/// Lower is better.
auto cost(const read_candidate& candidate)
{
    return std::tuple(candidate.is_primary, !candidate.satisfies_session, !candidate.is_in_same_zone,
                      candidate.busy_connections);
}

} // namespace

read_choice prefer_replica_policy::choose(const std::vector<read_candidate>& candidates) const
{
    std::optional<std::size_t> best;
    bool is_satisfied_by_replica = false;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const read_candidate& candidate = candidates[at];
        if (!candidate.is_within_max_age ||
            !(candidate.satisfies_session || candidate.probably_satisfies_session)) {
            continue;
        }
        is_satisfied_by_replica =
            is_satisfied_by_replica || (!candidate.is_primary && candidate.satisfies_session);
        const bool is_better =
            has_free_connection(candidate) && (!best || cost(candidate) < cost(candidates[*best]));
        best = is_better ? at : best;
    }
    // If a busy replica satisfies the session, the read waits for the replica, to keep the primary free for
    // writes.
    if (best && candidates[*best].is_primary && is_satisfied_by_replica) {
        return {};
    }
    return {best};
}

read_choice primary_only_policy::choose(const std::vector<read_candidate>& candidates) const
{
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        if (candidates[at].is_primary && has_free_connection(candidates[at])) {
            return {at};
        }
    }
    return {};
}

} // namespace hickorymount::routing
