#include "consensus/internal/quorum.h"

#include <algorithm>

namespace hickorymount::consensus::detail {

namespace {

bool contains(const std::vector<member>& members, const member& host)
{
    return std::find(members.begin(), members.end(), host) != members.end();
}

bool is_majority(const std::vector<member>& voters, const std::function<bool(const member&)>& counts)
{
    const auto count = static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), counts));
    return count * 2 > voters.size();
}

std::uint64_t value_of_majority(const std::vector<member>& voters,
                                const std::function<std::uint64_t(const member&)>& value_of)
{
    if (voters.empty()) {
        return 0;
    }
    std::vector<std::uint64_t> values;
    std::transform(voters.begin(), voters.end(), std::back_inserter(values), value_of);
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[voters.size() / 2];
}

} // namespace

bool is_voter(const membership& members, const member& host)
{
    return contains(members.voters, host) ||
           (members.outgoing_voters && contains(*members.outgoing_voters, host));
}

std::vector<member> all_voters(const membership& members)
{
    std::vector<member> voters = members.voters;
    if (members.outgoing_voters) {
        std::copy_if(members.outgoing_voters->begin(), members.outgoing_voters->end(),
                     std::back_inserter(voters),
                     [&](const member& each) { return !contains(members.voters, each); });
    }
    return voters;
}

bool is_quorum(const membership& members, const std::function<bool(const member&)>& counts)
{
    return is_majority(members.voters, counts) &&
           (!members.outgoing_voters || is_majority(*members.outgoing_voters, counts));
}

std::uint64_t value_of_quorum(const membership& members,
                              const std::function<std::uint64_t(const member&)>& value_of)
{
    const std::uint64_t value = value_of_majority(members.voters, value_of);
    return members.outgoing_voters ? std::min(value, value_of_majority(*members.outgoing_voters, value_of))
                                   : value;
}

} // namespace hickorymount::consensus::detail
