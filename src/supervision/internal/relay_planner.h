#pragma once

#include "protocol/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickorymount::supervision::detail {

/// The entry hosts that open connections to a group's backend servers. Answers to: many entry hosts before
/// servers that take few connections. Each would get less than one connection, and open and close it over and
/// over; instead a few in each availability zone keep several, and run the statements of the others. All
/// hosts are returned while each can have some. The choice changes little as hosts come and go.
std::vector<protocol::relay_host> connection_holders(const group_name& group, std::uint32_t connection_limit,
                                                     const std::vector<protocol::relay_host>& hosts);

/// What `self` has to know: for each group whether it holds connections, and whom it asks otherwise. Hosts in
/// its own zone come first. Answers to: holders that are lost, or are cut off from the servers; so there is
/// more than one to turn to, in more than one zone.
protocol::relay_plan plan_for(const host_name& self, const availability_zone& zone,
                              const std::map<group_name, std::vector<protocol::relay_host>>& holders);

/// Hash of everything that `plan_for` follows from.
std::uint64_t digest_of(const std::map<group_name, std::vector<protocol::relay_host>>& holders);

} // namespace hickorymount::supervision::detail
