#include "codec/json_codec.h"
#include "command_line/option_parser.h"
#include "configuration/descriptions.h"
#include "configuration/questionnaire.h"
#include "operations/control_client.h"
#include "operations/terminal.h"
#include "settings/types.h"
#include "supervision/descriptions.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickorymount;

namespace {

constexpr int exit_conflict = 2;
constexpr int exit_not_in_force = 3;
constexpr const char* control_option_help = "control hosts' operator addresses, separated by commas";

using argument_list = std::vector<std::string>;

/// Prints one line; see `terminal_line`.
template <class... Arguments>
void print_line(std::FILE* stream, fmt::format_string<Arguments...> format, Arguments&&... arguments)
{
    fmt::print(stream, "{}",
               operations::terminal_line(fmt::format(format, std::forward<Arguments>(arguments)...)));
}

/// Parses the options of a command that takes only --control; returns the positional arguments.
result<argument_list> parse_with_control_option(const argument_list& arguments, const std::string& usage,
                                                std::string& control_addresses)
{
    command_line::option_parser options(usage);
    options.add("control", control_addresses, control_option_help, "ADDRESS:PORT,…");
    return options.parse(arguments);
}

result<operations::control_client> make_client(const std::string& control_addresses)
{
    BOOST_LEAF_AUTO(hosts, operations::parse_endpoints(control_addresses));
    return operations::control_client(hosts);
}

/// Generates the configuration from a questionnaire file, or prints the questionnaire's problems to standard
/// error.
result<configuration::configuration> generate_from_file(const argument_list& arguments)
{
    if (arguments.size() != 1) {
        return fail("command_line", "", "expected exactly one questionnaire file");
    }
    const std::string& file = arguments.front();
    BOOST_LEAF_AUTO(text, settings::read_file(file));
    const auto generated = configuration::generate(text, file);
    if (const auto* problems = std::get_if<std::vector<configuration::questionnaire_problem>>(&generated)) {
        for (const configuration::questionnaire_problem& problem : *problems) {
            print_line(stderr, "{}", to_string(problem));
        }
        return fail("questionnaire", file,
                    fmt::format("{} problem(s); nothing was changed", problems->size()));
    }
    return std::get<configuration::configuration>(generated);
}

result<int> check(const argument_list& arguments)
{
    command_line::option_parser options("QUESTIONNAIRE");
    BOOST_LEAF_AUTO(positional, options.parse(arguments));
    BOOST_LEAF_AUTO(generated, generate_from_file(positional));
    print_line(stdout, "{}: {} service(s), {} class(es)", positional.front(), generated.groups.size(),
               generated.classes.size());
    return EXIT_SUCCESS;
}

result<int> generate(const argument_list& arguments)
{
    command_line::option_parser options("QUESTIONNAIRE");
    BOOST_LEAF_AUTO(positional, options.parse(arguments));
    BOOST_LEAF_AUTO(generated, generate_from_file(positional));
    fmt::print("{}", operations::terminal_document(codec::encode(generated)));
    return EXIT_SUCCESS;
}

result<int> diff(const argument_list& arguments)
{
    std::string control_addresses;
    BOOST_LEAF_AUTO(positional,
                    parse_with_control_option(arguments, "--control HOSTS QUESTIONNAIRE", control_addresses));
    BOOST_LEAF_AUTO(generated, generate_from_file(positional));
    BOOST_LEAF_AUTO(client, make_client(control_addresses));
    BOOST_LEAF_AUTO(current, client.configuration());
    for (const std::string& line : configuration::differences(current.content, generated)) {
        print_line(stdout, "{}", line);
    }
    return EXIT_SUCCESS;
}

std::string random_change_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

result<int> apply(const argument_list& arguments)
{
    std::string control_addresses;
    std::string id;
    int base_version = -1;
    command_line::option_parser options("--control HOSTS QUESTIONNAIRE");
    options.add("control", control_addresses, control_option_help, "ADDRESS:PORT,…");
    options.add("change-id", id, "the change's own id; the same id again gets the same answer", "ID");
    options.add("base", base_version, "the version that the change is based on; without it, the present one",
                "VERSION");
    BOOST_LEAF_AUTO(positional, options.parse(arguments));
    BOOST_LEAF_AUTO(generated, generate_from_file(positional));
    BOOST_LEAF_AUTO(client, make_client(control_addresses));
    directory::change_configuration change;
    change.id = change_id{id.empty() ? random_change_id() : id};
    change.content = std::move(generated);
    change.base = static_cast<std::uint64_t>(base_version);
    if (base_version < 0) {
        BOOST_LEAF_AUTO(current, client.configuration());
        change.base = current.version;
    }
    BOOST_LEAF_AUTO(response, client.change_configuration(change));
    if (response.outcome == directory::change_outcome::conflict) {
        print_line(
            stderr,
            "change {}: conflict: based on version {}, but version {} is in force; nothing was changed",
            change.id.value, change.base, response.version);
        return exit_conflict;
    }
    if (!response.is_in_force) {
        std::vector<std::string> names;
        for (const host_name& host : response.unconfirmed_hosts) {
            names.push_back(host.value);
        }
        print_line(stderr, "change {}: accepted as version {}; waiting for {}", change.id.value,
                   response.version, fmt::join(names, ", "));
        return exit_not_in_force;
    }
    print_line(stdout, "change {}: version {} is in force on every live entry host", change.id.value,
               response.version);
    return EXIT_SUCCESS;
}

result<int> status(const argument_list& arguments)
{
    std::string control_addresses;
    BOOST_LEAF_CHECK(parse_with_control_option(arguments, "--control HOSTS", control_addresses));
    BOOST_LEAF_AUTO(client, make_client(control_addresses));
    BOOST_LEAF_AUTO(summary, client.status());
    fmt::print("{}", operations::terminal_document(codec::encode(summary)));
    return EXIT_SUCCESS;
}

result<int> form_cluster(const argument_list& arguments)
{
    std::string control_addresses;
    BOOST_LEAF_CHECK(parse_with_control_option(arguments, "--control HOSTS", control_addresses));
    BOOST_LEAF_AUTO(client, make_client(control_addresses));
    BOOST_LEAF_AUTO(members, client.form_cluster());
    fmt::print("formed with {} control hosts\n", members.voters.size());
    return EXIT_SUCCESS;
}

result<int> change_primary(const argument_list& arguments)
{
    std::string control_addresses;
    BOOST_LEAF_AUTO(positional, parse_with_control_option(arguments, "--control HOSTS GROUP BACKEND_SERVER",
                                                          control_addresses));
    if (positional.size() != 2) {
        return fail("command_line", "", "expected a group and a backend server");
    }
    BOOST_LEAF_AUTO(client, make_client(control_addresses));
    BOOST_LEAF_AUTO(response,
                    client.change_primary(group_name{positional[0]}, backend_server_name{positional[1]}));
    fmt::print("{}\n", response.is_started ? "started" : "not possible now");
    return response.is_started ? EXIT_SUCCESS : exit_conflict;
}

/// Prints free loopback ports, as assigned by the kernel, for scripts that start several processes. All
/// sockets stay open until the end, so that no port is printed twice.
result<int> free_ports(const argument_list& arguments)
{
    int count = 1;
    command_line::option_parser options("--count COUNT");
    options.add("count", count, "how many", "COUNT");
    BOOST_LEAF_CHECK(options.parse(arguments));
    std::vector<int> sockets;
    for (int index = 0; index < count; ++index) {
        const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const bool is_bound = socket_fd >= 0 &&
                              ::bind(socket_fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                              ::getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        if (!is_bound) {
            return fail("free_ports", "", "can't bind a free loopback port");
        }
        sockets.push_back(socket_fd);
        fmt::print("{}\n", ntohs(address.sin_port));
    }
    for (const int socket_fd : sockets) {
        ::close(socket_fd);
    }
    return EXIT_SUCCESS;
}

struct command
{
    const char* name;
    const char* summary;
    result<int> (*run)(const argument_list&);
};

constexpr std::array<command, 8> commands{{
    {"check", "check a questionnaire", check},
    {"generate", "print the configuration generated from a questionnaire", generate},
    {"diff", "show what a questionnaire would change", diff},
    {"apply", "apply a questionnaire and wait until it is in force", apply},
    {"status", "print the system's state", status},
    {"form", "form a new cluster of control hosts with empty data folders", form_cluster},
    {"switch", "move a group's primary to another backend server", change_primary},
    {"free-ports", "print free loopback ports", free_ports},
}};

void print_commands()
{
    fmt::print("usage: hickorymountctl COMMAND [OPTION…]\n\n");
    for (const command& each : commands) {
        fmt::print("  {:<11} {}\n", each.name, each.summary);
    }
    fmt::print("\nhickorymountctl COMMAND --help shows a command's options.\n");
}

result<int> run(argument_list arguments)
{
    const std::string name = arguments.size() > 1 ? arguments[1] : "--help";
    for (const command& each : commands) {
        if (name == each.name) {
            arguments.erase(arguments.begin());
            return each.run(arguments);
        }
    }
    if (name == "--help" || name == "help") {
        print_commands();
        return EXIT_SUCCESS;
    }
    return fail("command_line", name, "unknown command; see hickorymountctl --help");
}

} // namespace

int main(int argc, char** argv)
{
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              print_line(stderr, "hickorymountctl: {}", to_string(error));
                              return EXIT_FAILURE;
                          });
}
