#pragma once

#include <cstdint>

namespace hickorymount::supervision::detail {

/// The connections to one backend server, split between the entry hosts of its region and the others. With
/// customers, each connection serves one of them, so that many hosts with a few connections each would open
/// and close them all the time. Statements are relayed to hosts of the server's region, which get most
/// connections; the others keep a few, for when that region can't be reached.
struct region_split
{
    std::uint32_t near_limit = 0;
    std::uint32_t far_limit = 0;

    friend bool operator==(const region_split&, const region_split&) = default;
};

/// Splits `limit` connections between the holders in the server's region and those elsewhere. Without holders
/// on one side, the other side gets all.
region_split split_by_region(std::uint32_t limit, std::uint32_t near_holders, std::uint32_t far_holders);

} // namespace hickorymount::supervision::detail
