#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "protocol/types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hickorymount::routing {

/// A backend server that a read might go to, as far as the entry host knows it.
struct read_candidate
{
    backend_server_name name;
    bool is_primary = false;
    bool is_same_zone = false;
    /// It holds everything that the session has written.
    bool covers = false;
    /// It does not, as far as is known, but at the rate seen it should by now.
    bool probably_covers = false;
    /// Its data is young enough for the class.
    bool is_fresh = false;
    std::uint32_t free_connections = 0;
    std::uint32_t busy_connections = 0;

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

/// Where a read goes.
struct read_choice
{
    /// Index of the candidate to use now; nothing to wait in the queue.
    std::optional<std::size_t> candidate;

    friend bool operator==(const read_choice&, const read_choice&) = default;
};

/// Chooses among the candidates of one group. Policies hold no state.
class read_policy
{
public:
    read_policy() = default;
    read_policy(const read_policy&) = delete;
    read_policy& operator=(const read_policy&) = delete;
    virtual ~read_policy() = default;

    [[nodiscard]] virtual read_choice choose(const std::vector<read_candidate>& candidates) const = 0;
};

/// Prefers replicas that are known to cover the session, then those that probably do, then the primary;
/// among equals the same zone, then the fewest statements in flight.
class position_policy final : public read_policy
{
public:
    [[nodiscard]] read_choice choose(const std::vector<read_candidate>& candidates) const override;
};

/// Sends every read to the primary. A baseline.
class primary_policy final : public read_policy
{
public:
    [[nodiscard]] read_choice choose(const std::vector<read_candidate>& candidates) const override;
};

} // namespace hickorymount::routing
