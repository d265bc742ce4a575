#include "consensus/internal/membership_planner.h"

#include <algorithm>

namespace hickorymount::consensus::detail {

namespace {

const member_status* find_status(const std::vector<member_status>& statuses, const member& host)
{
    const auto found = std::find_if(statuses.begin(), statuses.end(),
                                    [&](const member_status& each) { return each.host == host; });
    return found == statuses.end() ? nullptr : &*found;
}

std::vector<member> caught_up_learners(const membership& current, const std::vector<member_status>& statuses)
{
    std::vector<member> learners;
    std::copy_if(current.learners.begin(), current.learners.end(), std::back_inserter(learners),
                 [&](const member& each) {
                     const member_status* status = find_status(statuses, each);
                     return status != nullptr && status->is_caught_up && !status->is_leaving;
                 });
    return learners;
}

const member* find_by_name(const std::vector<member>& members, const host_name& name)
{
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const member& each) { return each.name == name; });
    return found == members.end() ? nullptr : &*found;
}

const member* find_leaving_voter(const membership& current, const std::vector<member_status>& statuses)
{
    const auto found = std::find_if(current.voters.begin(), current.voters.end(), [&](const member& each) {
        const member_status* status = find_status(statuses, each);
        return status != nullptr && status->is_leaving;
    });
    return found == current.voters.end() ? nullptr : &*found;
}

/// The voter without a response for the longest time, if that is at least `limit`.
const member* find_silent_voter(const membership& current, const std::vector<member_status>& statuses,
                                milliseconds limit)
{
    const member* silent = nullptr;
    milliseconds longest = limit;
    for (const member& each : current.voters) {
        const member_status* status = find_status(statuses, each);
        if (status != nullptr && status->silent_for >= longest) {
            silent = &each;
            longest = status->silent_for;
        }
    }
    return silent;
}

void remove(std::vector<member>& members, const member& host)
{
    members.erase(std::remove(members.begin(), members.end(), host), members.end());
}

membership replace_voter(const membership& current, const member& voter, const member& learner)
{
    membership next = current;
    next.outgoing_voters = current.voters;
    std::replace(next.voters.begin(), next.voters.end(), voter, learner);
    remove(next.learners, learner);
    return next;
}

membership add_voters(const membership& current, const std::vector<member>& learners)
{
    membership next = current;
    if (learners.size() > 1) {
        next.outgoing_voters = current.voters;
    }
    for (const member& each : learners) {
        next.voters.push_back(each);
        remove(next.learners, each);
    }
    return next;
}

} // namespace

std::optional<membership> plan_membership(const membership& current,
                                          const std::vector<member_status>& statuses)
{
    if (current.outgoing_voters) {
        membership next = current;
        next.outgoing_voters.reset();
        return next;
    }
    std::vector<member> spares;
    for (const member& learner : caught_up_learners(current, statuses)) {
        // The host has lost its data folder; its earlier identity can't vote any more.
        if (const member* lost = find_by_name(current.voters, learner.name)) {
            return replace_voter(current, member{*lost}, learner);
        }
        spares.push_back(learner);
    }
    const member* leaving = find_leaving_voter(current, statuses);
    if (leaving != nullptr && !spares.empty()) {
        return replace_voter(current, member{*leaving}, spares.front());
    }
    const member* silent = find_silent_voter(current, statuses, silent_voter_replacement_delay);
    if (silent != nullptr && !spares.empty()) {
        return replace_voter(current, member{*silent}, spares.front());
    }
    // An even number of voters tolerates no more failures than one voter fewer, and a network split into
    // halves leaves it without a majority. A single caught-up learner therefore stays a spare.
    const bool is_odd = current.voters.size() % 2 == 1;
    const bool is_too_small = current.voters.size() < min_voters;
    if (!spares.empty() && (!is_odd || is_too_small)) {
        return add_voters(current, {spares.front()});
    }
    if (spares.size() >= 2) {
        return add_voters(current, {spares[0], spares[1]});
    }
    const member* gone = find_silent_voter(current, statuses, voter_removal_delay);
    if (gone != nullptr && current.voters.size() > min_voters) {
        membership next = current;
        remove(next.voters, member{*gone});
        return next;
    }
    return std::nullopt;
}

} // namespace hickorymount::consensus::detail
