#include "supervision/internal/successor_choice.h"

#include <algorithm>
#include <tuple>

namespace hickorymount::supervision::detail {

namespace {

/// True when every replica has reported its position, so that each acknowledged commit is in a known log.
bool are_replicas_known(const successor_question& question)
{
    return std::all_of(question.servers.begin(), question.servers.end(),
                       [](const server_log& each) { return each.was_primary || each.position; });
}

session_token::group_position furthest_replica(const successor_question& question)
{
    session_token::group_position furthest;
    for (const server_log& each : question.servers) {
        if (!each.was_primary && each.position) {
            furthest = std::max(furthest, *each.position);
        }
    }
    return furthest;
}

/// A replica that is leaving gets no new work; it takes over only as the last resort. The primary of the
/// closed term has served until then, and may go on.
bool may_lead(const server_log& server, const successor_question& question)
{
    const bool is_leaving_replica = server.is_leaving && !server.was_primary;
    return server.position && !server.has_left && (!is_leaving_replica || question.may_choose_leaving);
}

bool holds_all_acknowledged(const server_log& server, const successor_question& question)
{
    const bool reaches_acknowledged = *server.position >= question.acknowledged.position;
    const bool reaches_replicas = *server.position >= furthest_replica(question);
    // A primary that started again without its log is behind the replicas.
    const bool has_primary_log = server.was_primary && reaches_replicas;
    if (reaches_acknowledged && (question.acknowledged.is_known || has_primary_log)) {
        return true;
    }
    return reaches_replicas && are_replicas_known(question);
}

/// Smaller is better. A server that is leaving would have to be replaced again soon.
int rank(const server_log& server, const successor_question& question)
{
    const bool is_replaced = server.was_primary && question.replaces_primary;
    if (server.is_leaving) {
        return server.was_primary ? 2 : 3;
    }
    return is_replaced ? 1 : 0;
}

/// True when a server without an answer may be a better choice than one of this rank.
bool may_better_one_answer(const successor_question& question, int chosen_rank)
{
    return std::any_of(question.servers.begin(), question.servers.end(), [&](const server_log& each) {
        const bool is_expected = !each.has_left && (!each.was_primary || question.expects_primary);
        return is_expected && !each.position && rank(each, question) <= chosen_rank;
    });
}

} // namespace

std::optional<backend_server_name> choose_successor(const successor_question& question)
{
    const auto order = [&](const server_log& server) {
        const bool is_named = question.named_candidate == server.name;
        return std::tuple(-rank(server, question), is_named,
                          server.position.value_or(session_token::group_position{}));
    };
    const server_log* best = nullptr;
    for (const server_log& each : question.servers) {
        if (may_lead(each, question) && holds_all_acknowledged(each, question) &&
            (best == nullptr || order(*best) < order(each))) {
            best = &each;
        }
    }
    if (best == nullptr || (!question.has_waited && may_better_one_answer(question, rank(*best, question)))) {
        return std::nullopt;
    }
    return best->name;
}

} // namespace hickorymount::supervision::detail
