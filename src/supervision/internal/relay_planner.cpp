#include "supervision/internal/relay_planner.h"

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::supervision::detail {

namespace {

using protocol::relay_host;

/// With more hosts than this in each zone, sharing connections is worth another hop.
constexpr std::size_t direct_hosts_per_zone = 4;
/// A host with fewer connections to a server can't keep the server's slots busy by itself.
constexpr std::uint32_t min_connections_per_host = 2;
/// The same for a host that also runs the statements of others.
constexpr std::uint32_t min_connections_per_holder = 3;
/// One is lost now and then; its zone should not have to turn to another.
constexpr std::size_t holders_per_zone = 2;
/// Relays that a host is told of for each group.
constexpr std::size_t relays_in_zone = 2;
constexpr std::size_t relays_elsewhere = 2;

std::uint64_t rank(const std::string& chooser, const host_name& chosen)
{
    const std::string text = chooser + " " + chosen.value;
    return XXH3_64bits(text.data(), text.size());
}

/// Sorts by rendezvous hashing, so that a host that goes moves nothing but its own part.
void sort_by_rank(const std::string& chooser, std::vector<relay_host>& hosts)
{
    std::sort(hosts.begin(), hosts.end(), [&](const relay_host& left, const relay_host& right) {
        return rank(chooser, left.name) > rank(chooser, right.name);
    });
}

void add_relays(std::vector<relay_host> from, const std::string& chooser, std::size_t most,
                std::vector<relay_host>& to)
{
    sort_by_rank(chooser, from);
    from.resize(std::min(from.size(), most));
    to.insert(to.end(), from.begin(), from.end());
}

/// The place of the host in the list, which gets it when it is new.
std::uint32_t place_of(const relay_host& host, std::vector<relay_host>& hosts)
{
    const auto found = std::find(hosts.begin(), hosts.end(), host);
    const auto place = static_cast<std::uint32_t>(found - hosts.begin());
    if (found == hosts.end()) {
        hosts.push_back(host);
    }
    return place;
}

} // namespace

std::vector<relay_host> connection_holders(const group_name& group, std::uint32_t connection_limit,
                                           const std::vector<relay_host>& hosts)
{
    std::map<availability_zone, std::vector<relay_host>> by_zone;
    for (const relay_host& host : hosts) {
        by_zone[host.zone].push_back(host);
    }
    const bool are_few = hosts.size() <= by_zone.size() * direct_hosts_per_zone;
    if (are_few && hosts.size() * min_connections_per_host <= connection_limit) {
        return hosts;
    }
    const bool can_double =
        by_zone.size() * holders_per_zone * min_connections_per_holder <= connection_limit;
    std::vector<relay_host> holders;
    for (auto& [zone, members] : by_zone) {
        add_relays(std::move(members), group.value, can_double ? holders_per_zone : 1, holders);
    }
    return holders;
}

protocol::relay_plan plan_for(const host_name& self, const availability_zone& zone,
                              const std::map<group_name, std::vector<relay_host>>& holders)
{
    protocol::relay_plan plan;
    plan.digest = digest_of(holders);
    for (const auto& [group, holding] : holders) {
        std::vector<relay_host> near;
        std::vector<relay_host> far;
        protocol::group_access access;
        access.is_direct = holding.empty();
        for (const relay_host& host : holding) {
            access.is_direct = access.is_direct || host.name == self;
            if (host.name != self) {
                (host.zone == zone ? near : far).push_back(host);
            }
        }
        std::vector<relay_host> relays;
        const std::string chooser = self.value + " " + group.value;
        add_relays(std::move(near), chooser, relays_in_zone, relays);
        add_relays(std::move(far), chooser, relays_elsewhere, relays);
        for (const relay_host& relay : relays) {
            access.relays.push_back(place_of(relay, plan.hosts));
        }
        plan.groups.emplace(group, std::move(access));
    }
    return plan;
}

std::uint64_t digest_of(const std::map<group_name, std::vector<relay_host>>& holders)
{
    std::string text;
    for (const auto& [group, holding] : holders) {
        text += group.value + ":";
        for (const relay_host& host : holding) {
            text += fmt::format("{}/{}/{},", host.name.value, host.zone.value, to_string(host.address));
        }
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace hickorymount::supervision::detail
