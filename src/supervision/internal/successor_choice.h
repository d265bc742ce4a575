#pragma once

#include "base/identifier.h"
#include "session_token/types.h"

#include <optional>
#include <vector>

namespace hickorymount::supervision::detail {

/// What is known of the log of one server of the group, while the group's term is closed.
struct server_log
{
    backend_server_name name;
    /// The position that the server reported after the term was closed; empty before its answer.
    std::optional<session_token::group_position> position;
    /// The server was the primary of the closed term. Its log contains every commit that it acknowledged.
    bool was_primary = false;
    /// The server has announced its shutdown. It still answers and may take over.
    bool is_leaving = false;
    /// The server has ended, and no server that started at its address has its log yet.
    bool has_left = false;

    friend bool operator==(const server_log&, const server_log&) = default;
};

/// The commits of the closed term that callers have been told of.
struct acknowledged_commits
{
    /// No commit acknowledged by the entry hosts that have reported is beyond this position.
    session_token::group_position position;
    /// Each entry host that may have acknowledged a commit has reported.
    bool is_known = true;

    friend bool operator==(const acknowledged_commits&, const acknowledged_commits&) = default;
};

/// The question that `choose_successor` answers.
struct successor_question
{
    /// All servers of the group that may hold commits of the closed term.
    std::vector<server_log> servers;
    acknowledged_commits acknowledged;
    /// The closed term's primary is not known to be lost, so its answer is waited for.
    bool expects_primary = false;
    /// The change is meant to replace the closed term's primary, which still answers. That server leads again
    /// only if no other one may.
    bool replaces_primary = false;
    /// A candidate that an earlier order may yet make the primary.
    std::optional<backend_server_name> named_candidate;
    /// The answers that are still missing have had their time.
    bool has_waited = false;
    /// The servers that stay have had their time to come back, so that one that is leaving may take over.
    bool may_choose_leaving = false;

    friend bool operator==(const successor_question&, const successor_question&) = default;
};

/// Chooses the next primary among servers whose log contains every commit that may have been acknowledged.
/// That holds for a log that reaches the acknowledged position. It also holds for the furthest of all
/// replicas: each acknowledged commit has been received by one of them. Empty while no server qualifies, or
/// while a better one may still answer.
std::optional<backend_server_name> choose_successor(const successor_question& question);

} // namespace hickorymount::supervision::detail
