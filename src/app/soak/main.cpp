#include "command_line/option_parser.h"
#include "operations/control_client.h"
#include "platform/emulator_client.h"
#include "soak/soak_run.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

constexpr int exit_violation_found = 2;
constexpr milliseconds call_timeout{700};
constexpr milliseconds statement_timeout{900};
constexpr std::uint32_t connections = 30;

std::vector<std::string> split_at_commas(std::string text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        parts.push_back(text.substr(0, end));
        text.erase(0, end + 1);
    }
    return parts;
}

configuration::database_route make_route(const std::string& database,
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

/// More than the callers of one customer ask.
constexpr configuration::operation_limit customer_limit{2000, 2000};

std::vector<platform::customer_entry> make_customers(int count, std::uint64_t version)
{
    std::vector<platform::customer_entry> customers;
    for (int customer = 0; customer < count; ++customer) {
        std::vector<std::string> keys{soak::key_of_customer(customer, false)};
        if (soak::has_second_keys(version)) {
            keys.push_back(soak::key_of_customer(customer, true));
        }
        customers.push_back({fmt::format("customer-{}", customer), std::move(keys), customer_limit});
    }
    return customers;
}

soak::platform_client make_platform_calls(int customers)
{
    soak::platform_client calls;
    calls.announce = [](const protocol::endpoint& control, const protocol::server_report& report) {
        return platform::send_server_report(control, report, call_timeout);
    };
    calls.send_configuration = [customers](const protocol::endpoint& control, std::uint64_t version) {
        const std::vector<configuration::database_route> routes{
            make_route("ledger", configuration::read_consistency::primary, {}),
            make_route("catalogue", configuration::read_consistency::bounded_staleness,
                       soak::bounded_staleness_limit),
            make_route("inspections", configuration::read_consistency::read_your_writes,
                       soak::read_your_writes_staleness)};
        return platform::send_configuration(control, version, routes, make_customers(customers, version),
                                            connections, call_timeout);
    };
    calls.read_version = [](const protocol::endpoint& control) {
        return platform::read_configuration_version(control, call_timeout);
    };
    calls.decode_promotion = platform::decode_promoted_server;
    return calls;
}

int print_report(const soak::soak_report& report)
{
    for (const std::string& fault : report.faults) {
        fmt::print("{}\n", fault);
    }
    for (const std::string& violation : report.violations) {
        fmt::print("BROKEN {}\n", violation);
    }
    fmt::print(
        "answered={} refused={} unknown={} cut={} acknowledged_writes={} reads={} answered_at_the_end={} "
        "repeated_answers={} cut_answers={} broken={}\n",
        report.answered, report.refused, report.unknown, report.interrupted, report.acknowledged_writes,
        report.reads, report.answered_after_recovery, report.repeated_answers, report.cut_answers,
        report.violations.size());
    return report.violations.empty() ? EXIT_SUCCESS : exit_violation_found;
}

result<int> run(const std::vector<std::string>& arguments)
{
    soak::soak_options soak_options;
    int seed = 1;
    int seconds = 30;
    int platform_port = 0;
    int has_plain_data = 0;
    int has_no_stutter = 0;
    std::string control_addresses;
    std::string control_pid_files;
    std::string entry_addresses;
    std::string entry_pid_files;
    std::string proxy_pairs;
    command_line::option_parser options("--seed N --control … --entries … --platform-port PORT");
    options.add("seed", seed, "seed of the injected faults and the callers' requests", "N");
    options.add("seconds", seconds, "duration of the run, in seconds", "N");
    options.add("customers", soak_options.customers, "number of customers; without any, callers need no key",
                "N");
    options.add_flag("plain-data", has_plain_data,
                     "leave control bytes and whole messages out of the fields");
    options.add_flag("no-stutter", has_no_stutter, "servers send no answer twice or in part");
    options.add("control", control_addresses, "operator addresses of the control hosts", "ADDRESS:PORT,…");
    options.add("control-ids", control_pid_files, "files with the process ids of these hosts", "FILE,…");
    options.add("entries", entry_addresses, "session addresses of the entry hosts", "ADDRESS:PORT,…");
    options.add("entry-ids", entry_pid_files, "files with the process ids of these hosts", "FILE,…");
    options.add("proxies", proxy_pairs, "pairs of a proxy's listening port and its target port",
                "PORT>PORT,… or PORT>PORT@INDEX,… for the links of an entry host");
    options.add("platform-port", platform_port, "port on which the simulated platform accepts promotions",
                "PORT");
    BOOST_LEAF_CHECK(options.parse(arguments));
    soak_options.seed = static_cast<std::uint32_t>(seed);
    soak_options.duration = milliseconds{seconds * 1000};
    soak_options.has_unusual_bytes = has_plain_data == 0;
    soak_options.disturbs_answers = has_no_stutter == 0;
    soak_options.platform_port = static_cast<std::uint16_t>(platform_port);
    BOOST_LEAF_ASSIGN(soak_options.control_hosts, operations::parse_endpoints(control_addresses));
    BOOST_LEAF_AUTO(session_endpoints, operations::parse_endpoints(entry_addresses));
    for (const protocol::endpoint& session_endpoint : session_endpoints) {
        soak_options.entry_ports.push_back(session_endpoint.port);
    }
    for (const std::string& file : split_at_commas(control_pid_files)) {
        soak_options.processes.push_back({file, file, true});
    }
    for (const std::string& file : split_at_commas(entry_pid_files)) {
        soak_options.processes.push_back({file, file, false});
    }
    for (const std::string& pair : split_at_commas(proxy_pairs)) {
        const std::size_t separator = pair.find('>');
        const std::size_t entry = pair.find('@');
        soak_options.proxies.push_back(
            {static_cast<std::uint16_t>(std::atoi(pair.c_str())),
             static_cast<std::uint16_t>(std::atoi(pair.c_str() + separator + 1)),
             entry == std::string::npos
                 ? std::nullopt
                 : std::optional(static_cast<std::size_t>(std::atoi(pair.c_str() + entry + 1)))});
    }
    BOOST_LEAF_AUTO(report, soak::run_soak(soak_options, make_platform_calls(soak_options.customers)));
    return print_report(report);
}

} // namespace

int main(int argc, char** argv)
{
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              fmt::print(stderr, "hickorymount-soak: {}\n", to_string(error));
                              return EXIT_FAILURE;
                          });
}
