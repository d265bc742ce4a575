#pragma once

#include "load/types.h"

#include <cstdint>
#include <vector>

namespace hickorymount::load {

/// Settings of a measurement that sends claims to the control hosts.
struct claim_options
{
    /// Addresses on which control hosts accept links from entry hosts.
    std::vector<protocol::endpoint> control_links;
    /// Number of claims that await an answer at the same time.
    int window = 256;
    milliseconds duration{5000};

    friend bool operator==(const claim_options&, const claim_options&) = default;
};

/// Sends claims to the leader as an entry host does, and returns the number of granted claims. Sends a new
/// claim whenever one is granted. Blocks for `claim_options::duration`.
std::uint64_t run_claims(const claim_options& options);

} // namespace hickorymount::load
