#pragma once

#include "consensus/types.h"

#include <cstdint>
#include <functional>

namespace hickorymount::consensus::detail {

/// True if the host is a voter, or one of the outgoing voters of a joint membership.
bool is_voter(const membership& members, const member& host);

/// The hosts whose votes count: the voters, followed by the outgoing voters that are not among them.
std::vector<member> all_voters(const membership& members);

/// True if the hosts that satisfy `counts` are a majority of the voters and, during a joint membership, a
/// majority of the outgoing voters too.
bool is_quorum(const membership& members, const std::function<bool(const member&)>& counts);

/// The highest value that a quorum has reached.
std::uint64_t value_of_quorum(const membership& members,
                              const std::function<std::uint64_t(const member&)>& value_of);

} // namespace hickorymount::consensus::detail
