#include "command_line/option_parser.h"
#include "node/event_codec.h"
#include "node/reduce.h"

#include <cstdlib>
#include <iostream>
#include <string>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

result<int> run(const std::vector<std::string>& arguments)
{
    std::string role = "entry";
    command_line::option_parser options("--role entry|control < EVENTS > EFFECTS");
    options.add("role", role, "role of the host whose events are replayed", "ROLE");
    BOOST_LEAF_CHECK(options.parse(arguments));
    node::node_state state = role == "control" ? node::node_state(node::control_state{})
                                               : node::node_state(routing::entry_state{});
    const routing::prefer_replica_policy policy;
    std::string line;
    while (std::getline(std::cin, line)) {
        BOOST_LEAF_AUTO(event, node::decode_event(line));
        node::node_transition transition = node::reduce(std::move(state), event, policy);
        state = std::move(transition.state);
        for (const node::node_effect& effect : transition.effects) {
            fmt::print("{}\n", node::encode(effect));
        }
        fmt::print("{{\"wake_at\":{}}}\n", transition.next_timer_at.time_since_epoch().count());
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              fmt::print(stderr, "hickorymount-replay: {}\n", to_string(error));
                              return EXIT_FAILURE;
                          });
}
