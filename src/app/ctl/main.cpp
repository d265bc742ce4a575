#include "codec/json_codec.h"
#include "command_line/command_line.h"
#include "configuration/descriptions.h"
#include "configuration/questionnaire.h"
#include "operations/control_client.h"
#include "settings/types.h"
#include "supervision/descriptions.h"

#include <array>
#include <cstdlib>
#include <functional>
#include <random>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickorymount;

namespace {

constexpr int exit_conflict = 2;
constexpr int exit_not_in_force = 3;
constexpr const char* control_help = "control hosts' operator addresses, separated by commas";

using words = std::vector<std::string>;

/// Adds --control to a command's options and parses them.
result<words> parse_with_control(const words& arguments, const std::string& usage, std::string& control)
{
    command_line::command_line options(usage);
    options.add("control", control, control_help, "ADDRESS:PORT,…");
    return options.parse(arguments);
}

result<operations::control_client> client_for(const std::string& control)
{
    BOOST_LEAF_AUTO(hosts, operations::parse_endpoints(control));
    return operations::control_client(hosts);
}

/// Generates from a file, or prints what is wrong in it.
result<configuration::configuration> generate_from(const words& arguments)
{
    if (arguments.size() != 1) {
        return fail("command_line", "", "expected one questionnaire");
    }
    const std::string& file = arguments.front();
    BOOST_LEAF_AUTO(text, settings::read_file(file));
    const auto made = configuration::generate(text, file);
    if (const auto* problems = std::get_if<std::vector<configuration::questionnaire_problem>>(&made)) {
        for (const configuration::questionnaire_problem& problem : *problems) {
            fmt::print(stderr, "{}\n", to_string(problem));
        }
        return fail("questionnaire", file,
                    fmt::format("{} problem(s); nothing was changed", problems->size()));
    }
    return std::get<configuration::configuration>(made);
}

result<int> check(const words& arguments)
{
    command_line::command_line options("QUESTIONNAIRE");
    BOOST_LEAF_AUTO(rest, options.parse(arguments));
    BOOST_LEAF_AUTO(made, generate_from(rest));
    fmt::print("{}: {} service(s), {} class(es)\n", rest.front(), made.groups.size(), made.classes.size());
    return EXIT_SUCCESS;
}

result<int> generate(const words& arguments)
{
    command_line::command_line options("QUESTIONNAIRE");
    BOOST_LEAF_AUTO(rest, options.parse(arguments));
    BOOST_LEAF_AUTO(made, generate_from(rest));
    fmt::print("{}\n", codec::encode(made).dump(2));
    return EXIT_SUCCESS;
}

result<int> diff(const words& arguments)
{
    std::string control;
    BOOST_LEAF_AUTO(rest, parse_with_control(arguments, "--control HOSTS QUESTIONNAIRE", control));
    BOOST_LEAF_AUTO(made, generate_from(rest));
    BOOST_LEAF_AUTO(client, client_for(control));
    BOOST_LEAF_AUTO(present, client.configuration());
    for (const std::string& line : configuration::differences(present.content, made)) {
        fmt::print("{}\n", line);
    }
    return EXIT_SUCCESS;
}

std::string fresh_change_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

result<int> apply(const words& arguments)
{
    std::string control;
    std::string id;
    int base = -1;
    command_line::command_line options("--control HOSTS QUESTIONNAIRE");
    options.add("control", control, control_help, "ADDRESS:PORT,…");
    options.add("change-id", id, "the change's own id; the same id again gets the same answer", "ID");
    options.add("base", base, "the version that the change is based on; without it, the present one",
                "VERSION");
    BOOST_LEAF_AUTO(rest, options.parse(arguments));
    BOOST_LEAF_AUTO(made, generate_from(rest));
    BOOST_LEAF_AUTO(client, client_for(control));
    directory::change_configuration change;
    change.id = change_id{id.empty() ? fresh_change_id() : id};
    change.content = std::move(made);
    change.base = static_cast<std::uint64_t>(base);
    if (base < 0) {
        BOOST_LEAF_AUTO(present, client.configuration());
        change.base = present.version;
    }
    BOOST_LEAF_AUTO(answer, client.apply(change));
    if (answer.outcome == directory::change_outcome::conflict) {
        fmt::print(
            stderr,
            "change {}: conflict: based on version {}, but version {} is in force; nothing was changed\n",
            change.id.value, change.base, answer.version);
        return exit_conflict;
    }
    if (!answer.is_in_force) {
        std::vector<std::string> names;
        for (const host_name& host : answer.waiting_for) {
            names.push_back(host.value);
        }
        fmt::print(stderr, "change {}: accepted as version {}; waiting for {}\n", change.id.value,
                   answer.version, fmt::join(names, ", "));
        return exit_not_in_force;
    }
    fmt::print("change {}: version {} is in force on every live entry host\n", change.id.value,
               answer.version);
    return EXIT_SUCCESS;
}

result<int> status(const words& arguments)
{
    std::string control;
    BOOST_LEAF_CHECK(parse_with_control(arguments, "--control HOSTS", control));
    BOOST_LEAF_AUTO(client, client_for(control));
    BOOST_LEAF_AUTO(summary, client.status());
    fmt::print("{}\n", codec::encode(summary).dump(2));
    return EXIT_SUCCESS;
}

result<int> form(const words& arguments)
{
    std::string control;
    BOOST_LEAF_CHECK(parse_with_control(arguments, "--control HOSTS", control));
    BOOST_LEAF_AUTO(client, client_for(control));
    BOOST_LEAF_AUTO(members, client.form());
    fmt::print("formed with {} control hosts\n", members.voters.size());
    return EXIT_SUCCESS;
}

result<int> change_primary(const words& arguments)
{
    std::string control;
    BOOST_LEAF_AUTO(rest, parse_with_control(arguments, "--control HOSTS GROUP BACKEND_SERVER", control));
    if (rest.size() != 2) {
        return fail("command_line", "", "expected a group and a backend server");
    }
    BOOST_LEAF_AUTO(client, client_for(control));
    BOOST_LEAF_AUTO(answer, client.change_primary(group_name{rest[0]}, backend_server_name{rest[1]}));
    fmt::print("{}\n", answer.is_started ? "started" : "not possible now");
    return answer.is_started ? EXIT_SUCCESS : exit_conflict;
}

/// Prints loopback ports that the kernel finds free, for scripts that start several processes.
result<int> free_ports(const words& arguments)
{
    int count = 1;
    command_line::command_line options("--count COUNT");
    options.add("count", count, "how many", "COUNT");
    BOOST_LEAF_CHECK(options.parse(arguments));
    std::vector<int> held;
    for (int at = 0; at < count; ++at) {
        const int opened = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const bool is_bound = opened >= 0 &&
                              ::bind(opened, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                              ::getsockname(opened, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        if (!is_bound) {
            return fail("free_ports", "", "no free port");
        }
        held.push_back(opened);
        fmt::print("{}\n", ntohs(address.sin_port));
    }
    for (const int each : held) {
        ::close(each);
    }
    return EXIT_SUCCESS;
}

struct command
{
    const char* name;
    const char* summary;
    result<int> (*run)(const words&);
};

constexpr std::array<command, 8> commands{{
    {"check", "check a questionnaire", check},
    {"generate", "print the configuration generated from a questionnaire", generate},
    {"diff", "show what a questionnaire would change", diff},
    {"apply", "apply a questionnaire and wait until it is in force", apply},
    {"status", "print the system's state", status},
    {"form", "form a new cluster of control hosts with empty data folders", form},
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

result<int> run(words arguments)
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

int main(int count, char** values)
{
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "hickorymountctl: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
