#pragma once

#include "load/types.h"

#include <cstdint>
#include <vector>

namespace hickorymount::load {

struct claim_options
{
    /// Where control hosts accept the system's own processes.
    std::vector<protocol::endpoint> control_links;
    /// Claims that wait for an answer at once.
    int window = 256;
    milliseconds duration{5000};

    friend bool operator==(const claim_options&, const claim_options&) = default;
};

/// Sends claims to the leader as an entry host would, each new one when another is answered, and returns
/// how many were granted.
std::uint64_t run_claims(const claim_options& options);

} // namespace hickorymount::load
