#include "node/reduce.h"

#include "node/internal/control_reducer.h"
#include "routing/reduce.h"

#include <utility>

namespace hickorymount::node {

namespace {

node_transition reduce_control(control_state state, const node_event& what, const control_event_kind& kind)
{
    detail::control_reducer step(std::move(state), what.now, what.wall);
    std::visit([&](const auto& each) { step.apply(each); }, kind);
    auto [next, wake] = step.finish();
    node_transition made{std::move(next), {}, wake};
    for (control_effect& effect : step.take_effects()) {
        made.effects.emplace_back(std::move(effect));
    }
    return made;
}

node_transition reduce_entry(routing::entry_state state, const node_event& what,
                             const routing::entry_event_kind& kind, const routing::read_policy& policy)
{
    routing::entry_transition next = routing::reduce(std::move(state), {what.now, what.wall, kind}, policy);
    node_transition made{std::move(next.state), {}, next.wake_at};
    for (routing::entry_effect& effect : next.effects) {
        made.effects.emplace_back(std::move(effect));
    }
    return made;
}

} // namespace

node_transition reduce(node_state state, const node_event& what, const routing::read_policy& policy)
{
    auto* const control = std::get_if<control_state>(&state);
    if (const auto* kind = std::get_if<control_event_kind>(&what.what);
        kind != nullptr && control != nullptr) {
        return reduce_control(std::move(*control), what, *kind);
    }
    auto* const entry = std::get_if<routing::entry_state>(&state);
    if (const auto* kind = std::get_if<routing::entry_event_kind>(&what.what);
        kind != nullptr && entry != nullptr) {
        return reduce_entry(std::move(*entry), what, *kind, policy);
    }
    return {std::move(state), {}, time_point::max()};
}

} // namespace hickorymount::node
