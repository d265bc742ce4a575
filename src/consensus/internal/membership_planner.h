#pragma once

#include "consensus/types.h"

#include <optional>
#include <vector>

namespace hickorymount::consensus::detail {

/// What the leader knows of one member, itself included.
struct member_status
{
    member host;
    /// A learner that has all committed entries and has just responded.
    bool is_caught_up = false;
    /// Time since the last response; zero for the leader.
    milliseconds silent_for{0};
    /// The host is about to stop.
    bool is_leaving = false;

    friend bool operator==(const member_status&, const member_status&) = default;
};

/// Plans the next change of the committed membership; empty if there is none to make.
///
/// A voter is replaced by a learner in one joint change, so that the number of voters, and with it the size
/// of a quorum, never depends on the host that joins: with one more voter in between, the loss of the new
/// host and of the one that it replaces would leave no quorum. A joint membership is followed by its new
/// voters alone.
std::optional<membership> plan_membership(const membership& current,
                                          const std::vector<member_status>& statuses);

} // namespace hickorymount::consensus::detail
