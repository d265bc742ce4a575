#include "command_line/command_line.h"
#include "operations/control_client.h"
#include "platform/session_wire.h"
#include "platform/stand_in_calls.h"
#include "soak/run.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

constexpr int exit_promise_broken = 2;
constexpr milliseconds call_timeout{700};
constexpr milliseconds statement_timeout{900};
constexpr std::uint32_t connections = 30;

std::vector<std::string> split(std::string text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        parts.push_back(text.substr(0, end));
        text.erase(0, end + 1);
    }
    return parts;
}

configuration::database_route route_of(const std::string& database,
                                       configuration::read_consistency consistency, milliseconds staleness)
{
    configuration::database_route route;
    route.name = "route-" + database;
    route.database = database;
    route.group.value = soak::group_under_test;
    route.consistency = consistency;
    route.max_staleness = staleness;
    route.statement_timeout = statement_timeout;
    return route;
}

soak::platform_calls make_calls()
{
    soak::platform_calls calls;
    calls.announce = [](const protocol::endpoint& control, const protocol::server_report& report) {
        return platform::announce_server(control, report, call_timeout);
    };
    calls.configure = [](const protocol::endpoint& control, std::uint64_t version) {
        const std::vector<configuration::database_route> routes{
            route_of("ledger", configuration::read_consistency::primary, {}),
            route_of("catalogue", configuration::read_consistency::bounded_staleness,
                     soak::bounded_staleness),
            route_of("inspections", configuration::read_consistency::read_your_writes, soak::own_staleness)};
        return platform::replace_configuration(control, version, routes, connections, call_timeout);
    };
    calls.read_version = [](const protocol::endpoint& control) {
        return platform::configuration_version(control, call_timeout);
    };
    calls.promoted = platform::promoted_server;
    return calls;
}

int print(const soak::run_report& report)
{
    for (const std::string& fault : report.faults) {
        fmt::print("{}\n", fault);
    }
    for (const std::string& violation : report.violations) {
        fmt::print("BROKEN {}\n", violation);
    }
    fmt::print(
        "answered={} refused={} unknown={} cut={} acknowledged_writes={} reads={} answered_at_the_end={} "
        "broken={}\n",
        report.answered, report.refused, report.unknown, report.cut, report.acknowledged_writes, report.reads,
        report.answered_at_the_end, report.violations.size());
    return report.violations.empty() ? EXIT_SUCCESS : exit_promise_broken;
}

result<int> run(const std::vector<std::string>& arguments)
{
    soak::run_options made;
    int seed = 1;
    int seconds = 30;
    int platform_port = 0;
    std::string controls;
    std::string control_files;
    std::string entries;
    std::string entry_files;
    std::string proxies;
    command_line::command_line options("--seed N --control … --entries … --platform-port PORT");
    options.add("seed", seed, "of the faults and of what callers do", "N");
    options.add("seconds", seconds, "how long it runs", "N");
    options.add("control", controls, "operators' addresses of control hosts", "ADDRESS:PORT,…");
    options.add("control-ids", control_files, "files with their process ids", "FILE,…");
    options.add("entries", entries, "session addresses of entry hosts", "ADDRESS:PORT,…");
    options.add("entry-ids", entry_files, "files with their process ids", "FILE,…");
    options.add("proxies", proxies, "pairs of a port and the one that it passes on to", "PORT>PORT,…");
    options.add("platform-port", platform_port, "takes promotions", "PORT");
    BOOST_LEAF_CHECK(options.parse(arguments));
    made.seed = static_cast<std::uint32_t>(seed);
    made.duration = milliseconds{seconds * 1000};
    made.platform_port = static_cast<std::uint16_t>(platform_port);
    BOOST_LEAF_ASSIGN(made.control, operations::parse_endpoints(controls));
    BOOST_LEAF_AUTO(sessions, operations::parse_endpoints(entries));
    for (const protocol::endpoint& each : sessions) {
        made.entry_ports.push_back(each.port);
    }
    for (const std::string& file : split(control_files)) {
        made.processes.push_back({file, file, true});
    }
    for (const std::string& file : split(entry_files)) {
        made.processes.push_back({file, file, false});
    }
    for (const std::string& pair : split(proxies)) {
        const std::size_t sign = pair.find('>');
        made.proxies.push_back({static_cast<std::uint16_t>(std::atoi(pair.c_str())),
                                static_cast<std::uint16_t>(std::atoi(pair.c_str() + sign + 1))});
    }
    BOOST_LEAF_AUTO(report, soak::run(made, platform::make_session_wire(), make_calls()));
    return print(report);
}

} // namespace

int main(int count, char** values)
{
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "hickorymount-soak: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
