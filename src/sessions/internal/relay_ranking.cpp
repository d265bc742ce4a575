#include "sessions/internal/relay_ranking.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// A relay is clearly busier than another if its load is this many times as high, and by more than this many
/// statements. Below that, reusing connections saves more than an even load.
constexpr double spill_factor = 2;
constexpr double spill_statements = 4;

/// Response times count from here on, so that a relay without measurements has a load as well.
constexpr double min_response_ms = 1;

double response_of(const relay_candidate& relay)
{
    return std::max(min_response_ms, relay.response_ms);
}

/// Time that the relay needs for what this host has in flight there and one statement more.
double load_of(const relay_candidate& relay)
{
    return response_of(relay) * (relay.in_flight + 1);
}

/// Relays of the region where the statement is to run come first, then those of the own zone.
std::pair<bool, bool> place_of(const relay_candidate& relay)
{
    return {!relay.is_in_target_region, !relay.is_in_own_zone};
}

bool precedes(const relay_candidate& left, const relay_candidate& right)
{
    return std::tuple(place_of(left), load_of(left), left.connections_in_use, left.plan_index) <
           std::tuple(place_of(right), load_of(right), right.connections_in_use, right.plan_index);
}

using relay_iterator = std::vector<relay_candidate>::iterator;

/// Moves the relay with the highest affinity to the front of the relays of one place, the least loaded of
/// which is the first.
void prefer_affinity(relay_iterator begin, relay_iterator end)
{
    const auto preferred = std::max_element(
        begin, end, [](const auto& left, const auto& right) { return left.affinity < right.affinity; });
    if (preferred == end || preferred->affinity == 0) {
        return;
    }
    if (load_of(*preferred) <= spill_factor * load_of(*begin) + spill_statements * response_of(*begin)) {
        std::rotate(begin, preferred, preferred + 1);
    }
}

/// A relay that was not measured yet counts as the fastest of the others.
void estimate_unmeasured(std::vector<relay_candidate>& relays)
{
    double fastest = 0;
    for (const relay_candidate& relay : relays) {
        const bool is_faster = relay.response_ms > 0 && (fastest == 0 || relay.response_ms < fastest);
        fastest = is_faster ? relay.response_ms : fastest;
    }
    for (relay_candidate& relay : relays) {
        relay.response_ms = relay.response_ms > 0 ? relay.response_ms : fastest;
    }
}

} // namespace

std::uint64_t relay_affinity(const group_name& group, const customer_name& customer,
                             const backend_server_name& relay)
{
    const std::string text = group.value + " " + customer.value + " " + relay.value;
    return XXH3_64bits(text.data(), text.size());
}

std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> candidates)
{
    std::erase_if(candidates, [](const relay_candidate& each) { return each.is_avoided || each.was_tried; });
    estimate_unmeasured(candidates);
    std::sort(candidates.begin(), candidates.end(), precedes);
    for (auto begin = candidates.begin(); begin != candidates.end();) {
        const auto end = std::find_if(begin, candidates.end(), [&](const relay_candidate& each) {
            return place_of(each) != place_of(*begin);
        });
        prefer_affinity(begin, end);
        begin = end;
    }
    return candidates;
}

} // namespace hickorymount::sessions::detail
