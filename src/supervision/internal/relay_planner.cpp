#include "supervision/internal/relay_planner.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::supervision::detail {

namespace {

using protocol::relay_host;

/// With more hosts per zone than this, statements go through relays in spite of the additional network hop.
constexpr std::size_t max_direct_hosts_per_zone = 4;
/// With fewer connections to a server, a single host can't keep the server's slots busy.
constexpr std::uint32_t min_connections_per_host = 2;
/// `min_connections_per_host` for a host that also runs the statements of others.
constexpr std::uint32_t min_connections_per_holder = 3;
/// Two, so that the loss of one holder does not send the statements of its zone to another zone.
constexpr std::size_t holders_per_zone = 2;
/// Number of relays in the relay plan of a host for each group.
constexpr std::size_t relays_in_own_zone = 2;
constexpr std::size_t relays_in_other_zones = 2;

std::uint64_t rank(const std::string& hash_key, const host_name& host)
{
    const std::string text = hash_key + " " + host.value;
    return XXH3_64bits(text.data(), text.size());
}

/// Appends the `max_count` highest-ranked hosts of `from` to `to`. The ranks are those of rendezvous hashing,
/// so that the loss of a host only affects the selections that contain it.
void append_ranked_hosts(const std::vector<const relay_host*>& from, const std::string& hash_key,
                         std::size_t max_count, std::vector<relay_host>& to)
{
    std::vector<std::pair<std::uint64_t, const relay_host*>> ranked;
    ranked.reserve(from.size());
    for (const relay_host* host : from) {
        ranked.emplace_back(rank(hash_key, host->name), host);
    }
    const auto selected = static_cast<std::ptrdiff_t>(std::min(ranked.size(), max_count));
    std::partial_sort(ranked.begin(), ranked.begin() + selected, ranked.end(), std::greater<>());
    for (auto each = ranked.begin(); each != ranked.begin() + selected; ++each) {
        to.push_back(*each->second);
    }
}

/// Returns the index of the host in `hosts`; appends the host first if it is missing.
std::uint32_t index_of_host(const relay_host& host, std::vector<relay_host>& hosts)
{
    const auto found = std::find(hosts.begin(), hosts.end(), host);
    const auto index = static_cast<std::uint32_t>(found - hosts.begin());
    if (found == hosts.end()) {
        hosts.push_back(host);
    }
    return index;
}

} // namespace

std::vector<relay_host> select_connection_holders(const group_name& group, std::uint32_t connection_limit,
                                                  const std::vector<relay_host>& hosts)
{
    std::map<availability_zone, std::vector<const relay_host*>> by_zone;
    for (const relay_host& host : hosts) {
        by_zone[host.zone].push_back(&host);
    }
    const bool has_few_hosts = hosts.size() <= by_zone.size() * max_direct_hosts_per_zone;
    if (has_few_hosts && hosts.size() * min_connections_per_host <= connection_limit) {
        return hosts;
    }
    const bool can_select_several =
        by_zone.size() * holders_per_zone * min_connections_per_holder <= connection_limit;
    std::vector<relay_host> holders;
    for (const auto& [zone, members] : by_zone) {
        append_ranked_hosts(members, group.value, can_select_several ? holders_per_zone : 1, holders);
    }
    return holders;
}

protocol::relay_plan relay_plan_for(const host_name& self, const availability_zone& zone,
                                    const std::map<group_name, std::vector<relay_host>>& holders,
                                    relay_choice choice)
{
    protocol::relay_plan plan;
    plan.digest = digest_holders(holders, choice);
    for (const auto& [group, group_holders] : holders) {
        std::vector<const relay_host*> same_zone;
        std::vector<const relay_host*> other_zones;
        protocol::group_access access;
        access.is_direct = group_holders.empty();
        for (const relay_host& host : group_holders) {
            access.is_direct = access.is_direct || host.name == self;
            if (host.name != self) {
                (host.zone == zone ? same_zone : other_zones).push_back(&host);
            }
        }
        std::vector<relay_host> relays;
        const std::string hash_key = self.value + " " + group.value;
        const bool lists_all = choice == relay_choice::all_holders;
        append_ranked_hosts(same_zone, hash_key, lists_all ? same_zone.size() : relays_in_own_zone, relays);
        append_ranked_hosts(other_zones, hash_key, lists_all ? other_zones.size() : relays_in_other_zones,
                            relays);
        for (const relay_host& relay : relays) {
            access.relay_indexes.push_back(index_of_host(relay, plan.relays));
        }
        plan.groups.emplace(group, std::move(access));
    }
    return plan;
}

std::uint64_t digest_holders(const std::map<group_name, std::vector<relay_host>>& holders,
                             relay_choice choice)
{
    std::string text = choice == relay_choice::all_holders ? "all;" : "";
    for (const auto& [group, group_holders] : holders) {
        text += group.value + ":";
        for (const relay_host& host : group_holders) {
            text += fmt::format("{}/{}/{},", host.name.value, host.zone.value, to_string(host.address));
        }
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace hickorymount::supervision::detail
