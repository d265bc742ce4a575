#pragma once

#include "sessions/types.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hickorymount::sessions::detail {

/// What the handlers of one event share: the state being made, the time, and the effects.
class session_step
{
public:
    session_step(session_state initial, time_point present) : state(std::move(initial)), now(present) {}

    template <class Effect>
    void emit(Effect made)
    {
        effects.emplace_back(std::move(made));
    }

    void log(logging::log_level level, std::string step, std::string peer, std::string text)
    {
        effects.emplace_back(logging::log_record{level, std::move(step), std::move(peer), std::move(text)});
    }

    [[nodiscard]] const group_in_view* group(const group_name& name) const
    {
        const auto found = state.view->groups.find(name);
        return found == state.view->groups.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const server_in_view* server(const backend_server_name& name) const
    {
        const auto found = state.view->servers.find(name);
        return found == state.view->servers.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const protocol::group_access* access(const group_name& name) const
    {
        const auto found = state.view->relays->groups.find(name);
        return found == state.view->relays->groups.end() ? nullptr : &found->second;
    }

    /// True while the plan names the entry host for the group.
    [[nodiscard]] bool is_relay_planned(const group_name& name, const backend_server_name& host) const
    {
        const protocol::group_access* known = access(name);
        return known != nullptr &&
               std::any_of(known->relays.begin(), known->relays.end(), [&](std::uint32_t place) {
                   return state.view->relays->hosts.at(place).name.value == host.value;
               });
    }

    /// True while the primary's term is open here under a valid lease.
    [[nodiscard]] bool is_primary_usable(const group_in_view& known) const
    {
        return known.is_open && now < state.view->lease_until;
    }

    /// True while the group's term is `term` and may acknowledge commits.
    [[nodiscard]] bool is_term_usable(const group_name& name, group_term term) const
    {
        const group_in_view* known = group(name);
        return known != nullptr && term != 0 && known->term == term && is_primary_usable(*known);
    }

    [[nodiscard]] caller_session* session(session_number number)
    {
        const auto found = state.sessions.find(number);
        return found == state.sessions.end() ? nullptr : &found->second;
    }

    [[nodiscard]] server_link* link(link_number number)
    {
        const auto found = state.links.find(number);
        return found == state.links.end() ? nullptr : &found->second;
    }

    session_state state;
    time_point now;
    std::vector<effect> effects;
};

} // namespace hickorymount::sessions::detail
