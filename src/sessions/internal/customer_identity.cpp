#include "sessions/internal/customer_identity.h"

namespace hickorymount::sessions::detail {

namespace {

/// The route of the session's open transaction, or the one for its next statement; null if there is none.
const configuration::database_route* route_of(const session_state& state, const caller_session& session)
{
    if (session.transaction) {
        return &session.transaction->route;
    }
    const auto route = state.routes.find(session.database);
    return route == state.routes.end() ? nullptr : &route->second;
}

} // namespace

std::map<key_digest, customer_name> index_customers(const configuration::configuration& content)
{
    std::map<key_digest, customer_name> index;
    for (const auto& [name, settings] : content.customers) {
        for (const key_digest& key : settings.keys) {
            index.emplace(key, name);
        }
    }
    return index;
}

std::map<customer_name, customer_rank> rank_customers(const configuration::configuration& content)
{
    double sum = 0;
    double count = 0;
    for (const auto& [name, settings] : content.customers) {
        sum += settings.limit ? settings.limit->operations_per_second : 0;
        count += settings.limit ? 1 : 0;
    }
    std::map<customer_name, customer_rank> ranks;
    for (const auto& [name, settings] : content.customers) {
        const bool has_weight = settings.limit && sum > 0;
        ranks[name] = {settings.priority,
                       has_weight ? settings.limit->operations_per_second * count / sum : 1};
    }
    return ranks;
}

std::optional<customer_name> customer_of_caller(const session_state& state, const caller_session& session)
{
    const configuration::database_route* route = route_of(state, session);
    const bool needs_key =
        state.view->configuration->content.identifies_customers && route != nullptr && !route->is_public;
    if (!needs_key) {
        return customer_name{};
    }
    const auto owner = state.customers_by_key.find(session.key);
    return owner == state.customers_by_key.end() ? std::nullopt : std::optional(owner->second);
}

std::optional<customer_name> customer_of_relayed_statement(const session_state& state,
                                                           const customer_name& named)
{
    const bool is_known = named.empty() || state.view->configuration->content.customers.contains(named);
    return is_known ? std::optional(named) : std::nullopt;
}

} // namespace hickorymount::sessions::detail
