#include "sessions/server_health.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::sessions {

namespace {

/// Weight of the newest outcome in the shares.
constexpr double outcome_weight = 0.1;
/// With fewer outcomes the shares and response times say little.
constexpr std::uint32_t min_outcomes = 8;
constexpr double failed_share_limit = 0.2;
constexpr double lagging_share_limit = 0.5;
/// A server is only an outlier if the best of the others has at most this part of its share.
constexpr double share_factor = 0.5;
/// Statements of one group differ in service time by less than this factor.
constexpr double slow_factor = 3;
/// Smaller differences are those between queues.
constexpr double slow_difference_ms = 50;
/// A full queue of the slowest statements delays single responses by less.
constexpr milliseconds silence_limit{500};
/// Silence only counts while another server of the group responds.
constexpr milliseconds recent{300};
/// Connections that are lost within this time are one interruption.
constexpr milliseconds loss_interval{200};
constexpr double loss_half_life_ms = 2000;
/// A crash is one interruption; two within a few seconds are a server that comes and goes.
constexpr double flapping_losses = 1.4;
constexpr milliseconds first_ejection{500};
constexpr milliseconds longest_ejection{4000};
/// A server that was not ejected for this long is ejected for the shortest time again.
constexpr milliseconds forgiving_time{10'000};
constexpr milliseconds slow_start_time{2000};
/// One more read may be in flight after each step.
constexpr milliseconds slow_start_step{250};

double remaining_losses(const server_health& health, time_point now)
{
    return health.losses *
           std::exp2(-static_cast<double>((now - health.lost_at).count()) / loss_half_life_ms);
}

/// The lowest value among the other servers for which it is known.
template <class Value>
std::optional<double> lowest_of_others(const std::vector<observed_server>& servers,
                                       const observed_server& server, Value value)
{
    std::optional<double> lowest;
    for (const observed_server& each : servers) {
        const std::optional<double> found = each.name == server.name ? std::nullopt : value(each);
        if (found) {
            lowest = std::min(*found, lowest.value_or(*found));
        }
    }
    return lowest;
}

bool is_share_outlier(const std::vector<observed_server>& servers, const observed_server& server,
                      double server_health::*share, double limit)
{
    const double own = server.health.*share;
    const auto lowest = lowest_of_others(servers, server, [&](const observed_server& each) {
        const bool is_comparable = share != &server_health::lagging_share || !each.is_primary;
        return is_comparable ? std::optional(each.health.*share) : std::nullopt;
    });
    return server.health.outcomes >= min_outcomes && own >= limit && lowest && *lowest <= own * share_factor;
}

bool is_slow(const std::vector<observed_server>& servers, const observed_server& server)
{
    const auto lowest =
        lowest_of_others(servers, server, [](const observed_server& each) { return each.read_ms; });
    return server.health.outcomes >= min_outcomes && server.read_ms && lowest &&
           *server.read_ms >= *lowest * slow_factor && *server.read_ms >= *lowest + slow_difference_ms;
}

bool is_silent(const std::vector<observed_server>& servers, const observed_server& server, time_point now)
{
    const bool do_others_respond =
        std::any_of(servers.begin(), servers.end(), [&](const observed_server& each) {
            return each.name != server.name && each.health.responded_at != time_point{} &&
                   now - each.health.responded_at < recent;
        });
    return do_others_respond && server.health.waiting_since &&
           now - *server.health.waiting_since >= silence_limit;
}

ejection_reason reason_to_eject(const std::vector<observed_server>& servers, const observed_server& server,
                                time_point now)
{
    if (is_silent(servers, server, now)) {
        return ejection_reason::silent;
    }
    const double losses = remaining_losses(server.health, now);
    const auto fewest = lowest_of_others(servers, server, [&](const observed_server& each) {
        return std::optional(remaining_losses(each.health, now));
    });
    if (losses >= flapping_losses && fewest && *fewest <= losses * share_factor) {
        return ejection_reason::flapping;
    }
    if (is_share_outlier(servers, server, &server_health::failed_share, failed_share_limit)) {
        return ejection_reason::failing;
    }
    if (is_share_outlier(servers, server, &server_health::lagging_share, lagging_share_limit)) {
        return ejection_reason::lagging;
    }
    return is_slow(servers, server) ? ejection_reason::slow : ejection_reason::none;
}

} // namespace

std::string_view to_string(ejection_reason reason)
{
    switch (reason) {
    case ejection_reason::none:
        return "none";
    case ejection_reason::slow:
        return "slow";
    case ejection_reason::failing:
        return "failing";
    case ejection_reason::lagging:
        return "lagging";
    case ejection_reason::silent:
        return "silent";
    case ejection_reason::flapping:
        return "flapping";
    }
    return "none";
}

server_health after_outcome(const server_health& health, server_outcome outcome, time_point now)
{
    server_health next = health;
    next.failed_share += outcome_weight * ((outcome == server_outcome::failed ? 1 : 0) - next.failed_share);
    next.lagging_share +=
        outcome_weight * ((outcome == server_outcome::lagging ? 1 : 0) - next.lagging_share);
    next.outcomes = std::min(next.outcomes + 1, min_outcomes);
    next.responded_at = now;
    return next;
}

server_health after_loss(const server_health& health, time_point now)
{
    if (health.losses > 0 && now - health.lost_at < loss_interval) {
        return health;
    }
    server_health next = health;
    next.losses = remaining_losses(health, now) + 1;
    next.lost_at = now;
    return next;
}

std::vector<ejection> choose_ejections(const std::vector<observed_server>& servers, time_point now)
{
    std::size_t left = servers.size() / 2;
    for (const observed_server& server : servers) {
        left -= is_ejected(server.health, now) && left > 0 ? 1 : 0;
    }
    std::vector<observed_server> used;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(used),
                 [&](const observed_server& each) { return !is_ejected(each.health, now); });
    std::vector<ejection> chosen;
    for (const observed_server& server : used) {
        const ejection_reason reason = reason_to_eject(used, server, now);
        if (reason != ejection_reason::none && left > 0) {
            chosen.push_back({server.name, reason});
            --left;
        }
    }
    return chosen;
}

server_health eject(const server_health& health, time_point now)
{
    server_health next = health;
    const bool is_repeated = health.readmitted_at && now - *health.readmitted_at < forgiving_time;
    next.ejections = is_repeated ? health.ejections + 1 : 1;
    milliseconds duration = first_ejection;
    for (std::uint32_t at = 1; at < next.ejections && duration < longest_ejection; ++at) {
        duration *= 2;
    }
    next.ejected_until = now + std::min(duration, longest_ejection);
    return next;
}

bool is_ejected(const server_health& health, time_point now)
{
    return health.ejected_until && now < *health.ejected_until;
}

server_health readmit(const server_health& health, time_point now)
{
    server_health next = health;
    next.ejected_until.reset();
    next.readmitted_at = now;
    next.failed_share = next.lagging_share = 0;
    next.outcomes = 0;
    // Silence that was the reason for the ejection does not count again before another time limit.
    next.waiting_since = next.waiting_since ? std::optional(now) : std::nullopt;
    return next;
}

std::optional<std::uint32_t> slow_start_limit(const server_health& health, time_point now)
{
    if (!health.readmitted_at || now - *health.readmitted_at >= slow_start_time) {
        return std::nullopt;
    }
    return 1 + static_cast<std::uint32_t>((now - *health.readmitted_at) / slow_start_step);
}

} // namespace hickorymount::sessions
