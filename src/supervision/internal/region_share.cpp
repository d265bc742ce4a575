#include "supervision/internal/region_share.h"

#include <algorithm>

namespace hickorymount::supervision::detail {

namespace {

/// One connection can be in use while another one is opened for the next customer.
constexpr std::uint32_t connections_per_far_holder = 2;
/// Hosts outside the server's region together get at most this part of the connections.
constexpr std::uint32_t far_limit_divisor = 4;

} // namespace

region_split split_by_region(std::uint32_t limit, std::uint32_t near_holders, std::uint32_t far_holders)
{
    if (near_holders == 0) {
        return {0, limit};
    }
    const std::uint32_t far_limit =
        std::min(limit / far_limit_divisor, far_holders * connections_per_far_holder);
    return {limit - far_limit, far_limit};
}

} // namespace hickorymount::supervision::detail
