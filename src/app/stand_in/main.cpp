#include "command_line/command_line.h"
#include "database/database_service.h"
#include "runtime/stop_signal.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

result<protocol::endpoint> endpoint_of(const std::string& text)
{
    const auto parsed = protocol::parse_endpoint(text);
    if (!parsed) {
        return fail("command_line", text, "expected an IP number and port");
    }
    return *parsed;
}

result<int> run(const std::vector<std::string>& arguments)
{
    database::service_options made;
    std::string listen = "127.0.0.1:0";
    std::string primary;
    std::string announce_to;
    int slots = 3;
    int connections = 20;
    int connection_cost_ms = 12;
    int service_ms = 0;
    int lag_ms = 0;
    command_line::command_line options("--name NAME --group GROUP --zone ZONE");
    options.add("name", made.settings.name.value, "the backend server's name", "NAME");
    options.add("group", made.settings.group.value, "its database group", "GROUP");
    options.add("zone", made.settings.zone.value, "its availability zone", "ZONE");
    options.add("listen", listen, "its address; port 0 lets the kernel choose", "ADDRESS:PORT");
    options.add("primary", primary, "the first primary; without it this is the first primary",
                "ADDRESS:PORT");
    options.add("announce-to", announce_to, "entry hosts, separated by commas", "ADDRESS:PORT,…");
    options.add("slots", slots, "statements that run at once", "COUNT");
    options.add("connections", connections, "connections accepted", "COUNT");
    options.add("connection-cost-ms", connection_cost_ms, "time to open a connection", "MS");
    options.add("service-ms", service_ms, "time that a statement holds its slot", "MS");
    options.add("lag-ms", lag_ms, "replication lag", "MS");
    BOOST_LEAF_CHECK(options.parse(arguments));
    BOOST_LEAF_ASSIGN(made.settings.address, endpoint_of(listen));
    if (!primary.empty()) {
        BOOST_LEAF_ASSIGN(made.settings.primary, endpoint_of(primary));
    }
    while (!announce_to.empty()) {
        const std::size_t end = std::min(announce_to.find(','), announce_to.size());
        BOOST_LEAF_AUTO(to, endpoint_of(announce_to.substr(0, end)));
        made.announce_to.push_back(to);
        announce_to.erase(0, end + 1);
    }
    made.settings.slots = static_cast<std::uint32_t>(slots);
    made.settings.connections = static_cast<std::uint32_t>(connections);
    made.settings.connection_cost = milliseconds{connection_cost_ms};
    made.settings.service_time = milliseconds{service_ms};
    made.settings.replication_lag = milliseconds{lag_ms};
    const runtime::stop_signal signal;
    BOOST_LEAF_AUTO(service, database::start_database(made));
    fmt::print(stderr, "step=start name={} port={}\n", made.settings.name.value, service->port());
    signal.wait();
    service->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, char** values)
{
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "database_stand_in: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
