#include "codec/json_codec.h"
#include "command_line/command_line.h"
#include "load/claim_run.h"
#include "load/history_check.h"
#include "load/load_run.h"
#include "load/path_comparison.h"
#include "operations/control_client.h"
#include "runtime/stop_signal.h"
#include "settings/types.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

constexpr int exit_fault_found = 2;

void print_figure(const std::string& name, double value, const std::string& unit, std::uint64_t runs)
{
    fmt::print("{}\n",
               codec::json{{"figure", name}, {"value", value}, {"unit", unit}, {"runs", runs}}.dump());
}

void print_count(const std::string& name, std::uint64_t value, std::uint64_t runs)
{
    print_figure(name, static_cast<double>(value), "requests", runs);
}

void print_distribution(const std::string& name, const load::distribution& values, std::uint64_t runs)
{
    print_figure(name + "_median", values.median, "ms", runs);
    print_figure(name + "_p99", values.p99, "ms", runs);
    print_figure(name + "_worst", values.worst, "ms", runs);
}

void print_summary(const load::load_summary& summary)
{
    print_count("requests", summary.requests, 1);
    print_count("answered", summary.answered, summary.requests);
    print_count("not_run", summary.not_run, summary.requests);
    print_count("outcome_unknown", summary.unknown, summary.requests);
    print_count("no_answer", summary.no_answer, summary.requests);
    print_figure("answered_per_second", summary.answered_per_second, "1/s", summary.requests);
    print_figure("replica_read_share", summary.replica_read_share, "ratio", summary.requests);
    print_distribution("read_latency_ms", summary.read_ms, summary.requests);
    print_distribution("write_latency_ms", summary.write_ms, summary.requests);
    for (const auto& [reason, count] : summary.reasons) {
        print_count("reason: " + reason, count, summary.requests);
    }
}

bool print_check(const load::check_result& checked, std::uint64_t runs)
{
    print_count("acknowledged_writes", checked.acknowledged, runs);
    print_count("lost_writes", checked.lost, runs);
    print_count("lost_replicated_writes", checked.lost_replicated, runs);
    print_count("doubled_bookings", checked.doubled, runs);
    print_count("run_though_refused", checked.run_though_refused, runs);
    print_count("stale_reads", checked.stale, runs);
    print_count("diverged_records", checked.diverged, runs);
    return checked.lost_replicated + checked.doubled + checked.run_though_refused + checked.stale +
               checked.diverged ==
           0;
}

void print_gaps(const std::vector<std::optional<milliseconds>>& gaps)
{
    std::vector<double> known;
    for (const auto& gap : gaps) {
        if (gap) {
            known.push_back(static_cast<double>(gap->count()));
            print_figure("failover_gap_ms_one", known.back(), "ms", 1);
        }
    }
    print_figure("failover_gaps_without_end", static_cast<double>(gaps.size() - known.size()), "losses",
                 gaps.size());
    if (known.empty()) {
        return;
    }
    std::sort(known.begin(), known.end());
    print_figure("failover_gap_ms_median", known[known.size() / 2], "ms", known.size());
    print_figure("failover_gap_ms_worst", known.back(), "ms", known.size());
}

/// Reads lines `SERVER UNIX_MILLISECONDS`.
result<std::vector<load::server_loss>> read_losses(const std::string& file)
{
    std::vector<load::server_loss> losses;
    if (file.empty()) {
        return losses;
    }
    BOOST_LEAF_AUTO(text, settings::read_file(file));
    std::istringstream lines(text);
    std::string server;
    std::int64_t at = 0;
    while (lines >> server >> at) {
        losses.push_back({backend_server_name{server}, unix_milliseconds{at}});
    }
    return losses;
}

std::vector<group_name> split_groups(std::string text)
{
    std::vector<group_name> groups;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        groups.push_back(group_name{text.substr(0, end)});
        text.erase(0, end + 1);
    }
    return groups;
}

result<int> compare_paths(const protocol::endpoint& entry, const protocol::endpoint& backend,
                          const load::path_options& options)
{
    BOOST_LEAF_AUTO(compared, load::compare_paths(entry, backend, options));
    const auto runs = static_cast<std::uint64_t>(options.rounds);
    print_distribution("direct_ms", compared.direct_ms, runs);
    print_distribution("through_entry_host_ms", compared.through_entry_ms, runs);
    print_figure("path_overhead_ms_median", compared.through_entry_ms.median - compared.direct_ms.median,
                 "ms", runs);
    return EXIT_SUCCESS;
}

result<int> run(const std::vector<std::string>& arguments)
{
    load::load_options made;
    int path_rounds = 0;
    std::string claim_links;
    int claim_window = 256;
    std::string entries;
    std::string backends;
    std::string groups;
    std::string losses_file;
    int seed = 1;
    int duration_ms = 10'000;
    int timeout_ms = 4000;
    int is_replicated = 0;
    int settle_ms = 1000;
    command_line::command_line options("--entries HOSTS --backends HOSTS --groups NAMES");
    options.add("entries", entries, "entry hosts, separated by commas", "ADDRESS:PORT,…");
    options.add("backends", backends, "backend servers whose logs are compared at the end", "ADDRESS:PORT,…");
    options.add("groups", groups, "database groups, separated by commas", "NAME,…");
    options.add("read-class", made.read_class, "class of the reads", "NAME");
    options.add("write-class", made.write_class, "class of the writes", "NAME");
    options.add("booking-class", made.booking_class, "class of requests that must not repeat", "NAME");
    options.add("sessions", made.sessions, "sessions that roam among the entry hosts", "COUNT");
    options.add("rate", made.rate, "requests a second, all sessions together", "COUNT");
    options.add("read-percent", made.read_percent, "share of reads", "PERCENT");
    options.add("booking-percent", made.booking_percent, "share of bookings among the writes", "PERCENT");
    options.add("seed", seed, "seed of the random choices", "NUMBER");
    options.add("duration-ms", duration_ms, "length of the run", "MS");
    options.add("timeout-ms", timeout_ms, "the callers' own time limit", "MS");
    options.add("settle-ms", settle_ms, "pause before the logs are compared", "MS");
    options.add("losses", losses_file, "file of lines 'SERVER UNIX_MILLISECONDS' for failover gaps", "FILE");
    options.add(
        "compare-path", path_rounds,
        "instead: so many statements to the first backend server, direct and through the first entry host",
        "COUNT");
    options.add("claims", claim_links, "instead: claims sent to the control hosts' links", "ADDRESS:PORT,…");
    options.add("claim-window", claim_window, "claims that wait for an answer at once", "COUNT");
    options.add_flag("replicated", is_replicated, "the write class is acknowledged by a replica, too");
    BOOST_LEAF_CHECK(options.parse(arguments));
    if (!claim_links.empty()) {
        BOOST_LEAF_AUTO(links, operations::parse_endpoints(claim_links));
        const std::uint64_t granted = load::run_claims({links, claim_window, milliseconds{duration_ms}});
        print_figure("claims_per_second", static_cast<double>(granted) * 1000 / duration_ms, "1/s", granted);
        return EXIT_SUCCESS;
    }
    BOOST_LEAF_ASSIGN(made.entry_hosts, operations::parse_endpoints(entries));
    made.groups = split_groups(groups);
    if (made.groups.empty() || made.sessions < 1 || made.rate < 1) {
        return fail("command_line", "", "expected groups, and sessions and a rate above zero");
    }
    made.seed = static_cast<std::uint32_t>(seed);
    made.duration = milliseconds{duration_ms};
    made.timeout = milliseconds{timeout_ms};
    made.is_write_replicated = is_replicated != 0;
    if (!backends.empty()) {
        BOOST_LEAF_ASSIGN(made.backend_servers, operations::parse_endpoints(backends));
    }
    if (path_rounds > 0 && !made.backend_servers.empty()) {
        return compare_paths(made.entry_hosts.front(), made.backend_servers.front(),
                             {made.groups.front(), made.write_class, path_rounds});
    }
    const std::vector<load::request_trace> traces = load::run_load(made);
    std::this_thread::sleep_for(milliseconds{settle_ms});
    const load::load_summary summary = load::summarize(traces, made.duration);
    print_summary(summary);
    BOOST_LEAF_AUTO(losses, read_losses(losses_file));
    if (!losses.empty()) {
        print_gaps(load::failover_gaps(traces, losses));
    }
    const auto histories = load::read_histories(made.backend_servers);
    const bool is_clean =
        print_check(load::check_histories(traces, histories, made.is_write_replicated), summary.requests);
    return is_clean ? EXIT_SUCCESS : exit_fault_found;
}

} // namespace

int main(int count, char** values)
{
    std::signal(SIGPIPE, SIG_IGN);
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "hickorymount-load: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
