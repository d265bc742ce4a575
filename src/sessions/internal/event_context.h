#pragma once

#include "sessions/types.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

/// Shared by the handlers of one event: the state being updated, the current time, and the resulting effects.
class event_context
{
public:
    event_context(session_state initial, time_point current_time)
        : state(std::move(initial)), now(current_time)
    {
    }

    template <class Effect>
    void emit(Effect emitted)
    {
        effects.emplace_back(std::move(emitted));
    }

    void log(logging::log_level level, std::string event_name, std::string peer, std::string text)
    {
        effects.emplace_back(
            logging::log_record{level, std::move(event_name), std::move(peer), std::move(text)});
    }

    [[nodiscard]] const group_view* group(const group_name& name) const
    {
        const auto found = state.view->groups.find(name);
        return found == state.view->groups.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const server_view* server(const backend_server_name& name) const
    {
        const auto found = state.view->servers.find(name);
        return found == state.view->servers.end() ? nullptr : &found->second;
    }

    /// True if callers belong to customers.
    [[nodiscard]] bool identifies_customers() const
    {
        return state.view->configuration->content.identifies_customers;
    }

    /// The servers of the group in the current view.
    [[nodiscard]] const std::vector<backend_server_name>& servers_of(const group_name& name) const
    {
        static const std::vector<backend_server_name> none;
        const auto found = state.group_servers.find(name);
        return found == state.group_servers.end() ? none : found->second;
    }

    /// The number of the group's statements that wait for a connection.
    [[nodiscard]] std::size_t queued_count(const group_name& name) const
    {
        const auto found = state.queues.find(name);
        return found == state.queues.end() ? 0 : found->second.size();
    }

    [[nodiscard]] const protocol::group_access* group_access(const group_name& name) const
    {
        const auto found = state.view->relay_plan->groups.find(name);
        return found == state.view->relay_plan->groups.end() ? nullptr : &found->second;
    }

    /// True while the relay plan lists the entry host for the group.
    [[nodiscard]] bool is_relay_planned(const group_name& name, const backend_server_name& host) const
    {
        const protocol::group_access* known = group_access(name);
        return known != nullptr &&
               std::any_of(known->relay_indexes.begin(), known->relay_indexes.end(),
                           [&](std::uint32_t plan_index) {
                               return state.view->relay_plan->relays.at(plan_index).name.value == host.value;
                           });
    }

    /// True while the group's term is open and this host's lease is valid.
    [[nodiscard]] bool is_primary_usable(const group_view& known) const
    {
        return known.is_open && now < state.view->lease_until;
    }

    /// True while `term` is the group's current term and its commits may be acknowledged.
    [[nodiscard]] bool is_term_usable(const group_name& name, group_term term) const
    {
        const group_view* known = group(name);
        return known != nullptr && term != 0 && known->term == term && is_primary_usable(*known);
    }

    /// What this host believes about the group's primary, for log records.
    [[nodiscard]] std::string belief_about(const group_name& name) const
    {
        const group_view* known = group(name);
        const std::int64_t lease_ms = (state.view->lease_until - now).count();
        return fmt::format("term={} open={} revision={} lease_ms={}", known == nullptr ? 0 : known->term,
                           known != nullptr && known->is_open, state.view->revision,
                           std::max<std::int64_t>(lease_ms, 0));
    }

    [[nodiscard]] caller_session* session(session_number number)
    {
        const auto found = state.sessions.find(number);
        return found == state.sessions.end() ? nullptr : &found->second;
    }

    [[nodiscard]] server_connection* connection(connection_number number)
    {
        const auto found = state.connections.find(number);
        return found == state.connections.end() ? nullptr : &found->second;
    }

    session_state state;
    time_point now;
    /// A customer's quota should be raised before the next renewal of the lease.
    bool needs_quota = false;
    std::vector<effect> effects;
};

} // namespace hickorymount::sessions::detail
