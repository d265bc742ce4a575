#pragma once

#include "supervision/types.h"

#include <string>
#include <utility>
#include <vector>

namespace hickorymount::supervision::detail {

/// What the handlers of one event share: the state being made, its surroundings, and the effects.
class supervision_step
{
public:
    supervision_step(supervision_state initial, const surroundings& environment)
        : state(std::move(initial)), around(environment)
    {
    }

    void send(const host_name& to, protocol::message content)
    {
        effects.emplace_back(send_to_entry{to, std::move(content)});
    }

    void send_to_all(protocol::message content) { send({}, std::move(content)); }

    void propose(directory::command command, command_caller caller = {})
    {
        effects.emplace_back(supervision::propose{std::move(command), std::move(caller)});
    }

    void log(logging::log_level level, std::string step, std::string peer, std::string text)
    {
        effects.emplace_back(logging::log_record{level, std::move(step), std::move(peer), std::move(text)});
    }

    [[nodiscard]] const directory::directory_state& directory() const { return around.directory; }
    [[nodiscard]] time_point now() const { return around.now; }

    /// A number not used before by this leader.
    std::uint64_t next_number() { return state.next_number++; }

    supervision_state state;
    const surroundings& around;
    std::vector<supervision_effect> effects;
};

} // namespace hickorymount::supervision::detail
