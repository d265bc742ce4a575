#pragma once

#include "routing/read_policy.h"
#include "routing/types.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace hickorymount::routing::detail {

/// Shared by the handlers of one event: the next state, the time of the event, and the effects.
class event_context
{
public:
    event_context(entry_state initial, time_point event_time, unix_milliseconds wall_clock,
                  const read_policy& reads)
        : state(std::move(initial)), now(event_time), wall_time(wall_clock), policy(reads)
    {
    }

    void send(const host_name& to, protocol::message content)
    {
        effects.emplace_back(send_to_control{to, std::move(content)});
    }

    /// Sends to the leader. While the leader is unknown, sends to `leader_search_fanout` control hosts in
    /// rotation.
    void send_to_leader(const protocol::message& content)
    {
        if (state.leader) {
            send(*state.leader, content);
            return;
        }
        const std::size_t count = state.control_hosts.size();
        for (std::size_t at = 0; at < std::min(count, leader_search_fanout); ++at) {
            send(state.control_hosts[(state.next_control_host + at) % count], content);
        }
        state.next_control_host = count == 0 ? 0 : (state.next_control_host + leader_search_fanout) % count;
    }

    void log(logging::log_level level, std::string step, std::string peer, std::string text)
    {
        effects.emplace_back(logging::log_record{level, std::move(step), std::move(peer), std::move(text)});
    }

    void set_timer(timer added) { state.timers = std::move(state.timers).set(std::move(added), true); }

    void set_group(const group_name& name, group_state group)
    {
        state.groups = std::move(state.groups).set(name, std::move(group));
    }

    void set_server(const backend_server_name& name, server_state server)
    {
        state.servers = std::move(state.servers).set(name, std::move(server));
    }

    void set_request(request_state request)
    {
        const request_number number = request.input.request;
        state.requests = std::move(state.requests).set(number, std::move(request));
    }

    [[nodiscard]] bool has_lease() const { return now < state.lease.valid_until; }

    /// True while writes of the group's current term may be acknowledged.
    [[nodiscard]] bool is_term_usable(const group_state& group) const
    {
        return has_lease() && group.record.phase == directory::group_phase::open &&
               group.record.term > group.closed_term;
    }

    std::uint64_t next_number() { return state.next_number++; }

    entry_state state;
    time_point now;
    unix_milliseconds wall_time;
    const read_policy& policy;
    std::vector<entry_effect> effects;
};

} // namespace hickorymount::routing::detail
