#include "command_line/option_parser.h"
#include "database/database_service.h"
#include "runtime/signal_waiter.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

result<protocol::endpoint> parse_endpoint_option(const std::string& text)
{
    const auto parsed = protocol::parse_endpoint(text);
    if (!parsed) {
        return fail("command_line", text, "expected an IP number and port");
    }
    return *parsed;
}

result<int> run(const std::vector<std::string>& arguments)
{
    database::service_options database_options;
    std::string listen_address = "127.0.0.1:0";
    std::string primary_address;
    std::string announce_to;
    int slots = 3;
    int connections = 20;
    int connection_cost_ms = 12;
    int service_time_ms = 0;
    int replication_lag_ms = 0;
    command_line::option_parser options("--name NAME --group GROUP --zone ZONE");
    options.add("name", database_options.settings.name.value, "name of the backend server", "NAME");
    options.add("group", database_options.settings.group.value, "database group of the server", "GROUP");
    options.add("zone", database_options.settings.zone.value, "availability zone of the server", "ZONE");
    options.add("listen", listen_address, "listening address; port 0 lets the kernel assign a free port",
                "ADDRESS:PORT");
    options.add("primary", primary_address,
                "address of the initial primary; without it, this server is the initial primary",
                "ADDRESS:PORT");
    options.add("announce-to", announce_to, "entry hosts to announce this server to, separated by commas",
                "ADDRESS:PORT,…");
    options.add("slots", slots, "maximum number of concurrent statements", "COUNT");
    options.add("connections", connections, "maximum number of open connections", "COUNT");
    options.add("connection-cost-ms", connection_cost_ms, "time to open a connection", "MS");
    options.add("service-ms", service_time_ms, "execution time of a statement, which occupies one slot",
                "MS");
    options.add("lag-ms", replication_lag_ms, "replication lag", "MS");
    BOOST_LEAF_CHECK(options.parse(arguments));
    BOOST_LEAF_ASSIGN(database_options.settings.address, parse_endpoint_option(listen_address));
    if (!primary_address.empty()) {
        BOOST_LEAF_ASSIGN(database_options.settings.primary, parse_endpoint_option(primary_address));
    }
    while (!announce_to.empty()) {
        const std::size_t end = std::min(announce_to.find(','), announce_to.size());
        BOOST_LEAF_AUTO(announce_endpoint, parse_endpoint_option(announce_to.substr(0, end)));
        database_options.announcement_targets.push_back(announce_endpoint);
        announce_to.erase(0, end + 1);
    }
    database_options.settings.slots = static_cast<std::uint32_t>(slots);
    database_options.settings.connections = static_cast<std::uint32_t>(connections);
    database_options.settings.connection_setup_time = milliseconds{connection_cost_ms};
    database_options.settings.service_time = milliseconds{service_time_ms};
    database_options.settings.replication_lag = milliseconds{replication_lag_ms};
    const runtime::signal_waiter signal;
    BOOST_LEAF_AUTO(service, database::start_database(database_options));
    fmt::print(stderr, "step=start name={} port={}\n", database_options.settings.name.value, service->port());
    signal.wait_for_stop();
    service->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              fmt::print(stderr, "database_stand_in: {}\n", to_string(error));
                              return EXIT_FAILURE;
                          });
}
