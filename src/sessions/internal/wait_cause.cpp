#include "sessions/internal/wait_cause.h"

#include <algorithm>

namespace hickorymount::sessions::detail {

namespace {

/// Connections to the servers that could run a statement.
struct available_connections
{
    std::uint32_t granted = 0;
    std::uint32_t connected = 0;
};

std::uint32_t connected_count(const event_context& context, const backend_server_name& server)
{
    const auto load = context.state.server_loads.find(server);
    return load == context.state.server_loads.end()
               ? 0
               : load->second.open_connections - load->second.opening_connections;
}

wait_cause find_relay_wait_cause(const event_context& context, const group_name& group)
{
    const auto& plan = *context.state.view->relay_plan;
    const auto& indexes = context.group_access(group)->relay_indexes;
    const bool is_connected = std::any_of(indexes.begin(), indexes.end(), [&](std::uint32_t plan_index) {
        return connected_count(context, backend_server_name{plan.relays.at(plan_index).name.value}) > 0;
    });
    return is_connected ? wait_cause::relays_busy : wait_cause::no_relay_connected;
}

} // namespace

wait_cause find_wait_cause(const event_context& context, const pending_statement& pending, bool uses_relay)
{
    const group_name& group_of_route = pending.route.group;
    if (uses_relay) {
        return find_relay_wait_cause(context, group_of_route);
    }
    const group_view* group = context.group(group_of_route);
    if (pending.needs_primary && (group == nullptr || !group->is_open || group->is_held)) {
        return wait_cause::no_primary;
    }
    if (pending.needs_primary && context.now >= context.state.view->lease_until) {
        return wait_cause::no_lease;
    }
    available_connections available;
    for (const auto& [name, server] : context.state.view->servers) {
        const bool can_run = server.group == group_of_route &&
                             (!pending.needs_primary || (group != nullptr && group->primary == name));
        if (can_run) {
            available.granted += server.connection_share;
            available.connected += connected_count(context, name);
        }
    }
    if (available.granted == 0) {
        return wait_cause::no_connection_granted;
    }
    return available.connected == 0 ? wait_cause::not_connected : wait_cause::servers_busy;
}

} // namespace hickorymount::sessions::detail

namespace hickorymount::sessions {

std::string_view to_string(wait_cause cause)
{
    switch (cause) {
    case wait_cause::none:
        return "none";
    case wait_cause::no_lease:
        return "no lease";
    case wait_cause::no_primary:
        return "no primary";
    case wait_cause::no_connection_granted:
        return "no connection granted";
    case wait_cause::not_connected:
        return "not connected";
    case wait_cause::servers_busy:
        return "servers busy";
    case wait_cause::no_relay_connected:
        return "no relay connected";
    case wait_cause::relays_busy:
        return "relays busy";
    case wait_cause::too_much_work_ahead:
        return "too much work ahead";
    case wait_cause::no_retry_left:
        return "no retry left";
    }
    return "none";
}

} // namespace hickorymount::sessions
