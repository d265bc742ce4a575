#pragma once

#include "base/identifier.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hickorymount::sessions::detail {

/// An entry host that may run a statement for this one.
struct relay_candidate
{
    /// Its place in the plan: hosts of the own availability zone come first.
    std::size_t place = 0;
    bool is_in_own_zone = false;
    /// Statements of this host that it runs now.
    std::uint32_t in_use = 0;
    /// It could not be reached, or was silent, a moment ago.
    bool is_avoided = false;
    /// It has refused this very statement, or left it unanswered.
    bool was_tried = false;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

/// Those worth asking, best first. Answers to: a holder of connections that has died or hangs, whose zone's
/// other holder takes over until control has chosen anew; and to one that gets more than its part.
std::vector<relay_candidate> in_order_of_use(std::vector<relay_candidate> candidates);

} // namespace hickorymount::sessions::detail
