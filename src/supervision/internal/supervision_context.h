#pragma once

#include "supervision/types.h"

#include <string>
#include <utility>
#include <vector>

namespace hickorymount::supervision::detail {

/// Shared by the handlers of one event: the new state, the read-only inputs and the effects.
class supervision_context
{
public:
    supervision_context(supervision_state initial, const supervision_inputs& read_only_inputs)
        : state(std::move(initial)), inputs(read_only_inputs)
    {
    }

    void send(const host_name& to, protocol::message content)
    {
        effects.emplace_back(send_to_entry_host{to, std::move(content)});
    }

    void send_to_all(protocol::message content) { send({}, std::move(content)); }

    void propose(directory::command command, command_sender caller = {})
    {
        effects.emplace_back(supervision::propose_command{std::move(command), std::move(caller)});
    }

    void log(logging::log_level level, std::string step, std::string peer, std::string text)
    {
        effects.emplace_back(logging::log_record{level, std::move(step), std::move(peer), std::move(text)});
    }

    [[nodiscard]] const directory::directory_state& directory() const { return inputs.directory; }
    [[nodiscard]] time_point now() const { return inputs.now; }

    /// Returns a number for a probe or an order that this leader has not used.
    std::uint64_t next_number() { return state.next_number++; }

    supervision_state state;
    const supervision_inputs& inputs;
    std::vector<supervision_effect> effects;
};

} // namespace hickorymount::supervision::detail
