#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "protocol/types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hickorymount::routing {

/// A backend server that may run a read, as known to the entry host.
struct read_candidate
{
    backend_server_name name;
    bool is_primary = false;
    bool is_in_same_zone = false;
    /// The server has reported a log position that includes every write of the session.
    bool satisfies_session = false;
    /// The log position estimated from the replication rate includes every write of the session.
    bool probably_satisfies_session = false;
    /// The data is no older than the `max_age` of the class, if there is one.
    bool is_within_max_age = false;
    std::uint32_t idle_connections = 0;
    std::uint32_t busy_connections = 0;

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

/// The result of a read policy.
struct read_choice
{
    /// Index of the selected candidate; empty if the read should wait in the queue.
    std::optional<std::size_t> candidate;

    friend bool operator==(const read_choice&, const read_choice&) = default;
};

/// Selects the backend server for a read from the candidates of its group. Policies are stateless.
class read_policy
{
public:
    read_policy() = default;
    read_policy(const read_policy&) = delete;
    read_policy& operator=(const read_policy&) = delete;
    virtual ~read_policy() = default;

    [[nodiscard]] virtual read_choice choose(const std::vector<read_candidate>& candidates) const = 0;
};

/// Prefers replicas that satisfy the session, then replicas that probably do, then the primary. Among equals
/// the policy prefers the same availability zone, then the fewest busy connections.
class prefer_replica_policy final : public read_policy
{
public:
    [[nodiscard]] read_choice choose(const std::vector<read_candidate>& candidates) const override;
};

/// Sends every read to the primary; a baseline for comparison.
class primary_only_policy final : public read_policy
{
public:
    [[nodiscard]] read_choice choose(const std::vector<read_candidate>& candidates) const override;
};

} // namespace hickorymount::routing
