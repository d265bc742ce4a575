#include "node/reduce.h"

#include "node/internal/control_reducer.h"
#include "routing/reduce.h"

#include <utility>

namespace hickorymount::node {

namespace {

node_transition reduce_control(control_state state, const node_event& event,
                               const control_event_payload& payload)
{
    detail::control_reducer reducer(std::move(state), event.now, event.wall_time);
    std::visit([&](const auto& alternative) { reducer.apply(alternative); }, payload);
    auto [next_state, next_timer_at] = reducer.finish();
    node_transition transition{std::move(next_state), {}, next_timer_at};
    for (control_effect& effect : reducer.release_effects()) {
        transition.effects.emplace_back(std::move(effect));
    }
    return transition;
}

node_transition reduce_entry(routing::entry_state state, const node_event& event,
                             const routing::entry_event_payload& payload, const routing::read_policy& policy)
{
    routing::entry_transition entry_transition =
        routing::reduce(std::move(state), {event.now, event.wall_time, payload}, policy);
    node_transition transition{std::move(entry_transition.state), {}, entry_transition.next_timer_at};
    for (routing::entry_effect& effect : entry_transition.effects) {
        transition.effects.emplace_back(std::move(effect));
    }
    return transition;
}

} // namespace

node_transition reduce(node_state state, const node_event& event, const routing::read_policy& policy)
{
    auto* const control = std::get_if<control_state>(&state);
    if (const auto* payload = std::get_if<control_event_payload>(&event.payload);
        payload != nullptr && control != nullptr) {
        return reduce_control(std::move(*control), event, *payload);
    }
    auto* const entry = std::get_if<routing::entry_state>(&state);
    if (const auto* payload = std::get_if<routing::entry_event_payload>(&event.payload);
        payload != nullptr && entry != nullptr) {
        return reduce_entry(std::move(*entry), event, *payload, policy);
    }
    return {std::move(state), {}, time_point::max()};
}

} // namespace hickorymount::node
