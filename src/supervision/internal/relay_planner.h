#pragma once

#include "protocol/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickorymount::supervision::detail {

/// Selects the entry hosts that open connections to a group's backend servers. With many entry hosts and few
/// connections, each host would get less than one connection and would open and close it repeatedly. Then
/// only a few hosts in each availability zone open connections and run the statements of the others. All
/// hosts are selected while each can have enough connections. The selection changes little when hosts join or
/// leave.
std::vector<protocol::relay_host> select_connection_holders(const group_name& group,
                                                            std::uint32_t connection_limit,
                                                            const std::vector<protocol::relay_host>& hosts);

/// Which of a group's connection holders the relay plan of an entry host lists.
enum class relay_choice
{
    /// Two in its own availability zone, and two in others.
    few_holders,
    all_holders
};

/// Returns the relay plan of the entry host `self`: for each group, whether `self` opens connections, and the
/// relays for its statements. Relays in the same zone come first. There are several relays in more than one
/// zone, since a relay may be lost or cut off from the servers.
protocol::relay_plan relay_plan_for(const host_name& self, const availability_zone& zone,
                                    const std::map<group_name, std::vector<protocol::relay_host>>& holders,
                                    relay_choice choice = relay_choice::few_holders);

/// Hash of `holders` and `choice`, from which the relay plans of all entry hosts are computed.
std::uint64_t digest_holders(const std::map<group_name, std::vector<protocol::relay_host>>& holders,
                             relay_choice choice = relay_choice::few_holders);

} // namespace hickorymount::supervision::detail
