#include "codec/json_codec.h"
#include "command_line/option_parser.h"
#include "load/claim_run.h"
#include "load/history_check.h"
#include "load/load_run.h"
#include "load/path_comparison.h"
#include "operations/control_client.h"
#include "runtime/signal_waiter.h"
#include "settings/types.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

constexpr int exit_violation_found = 2;

void print_measurement(const std::string& name, double value, const std::string& unit,
                       std::uint64_t sample_count)
{
    fmt::print(
        "{}\n",
        codec::json{{"figure", name}, {"value", value}, {"unit", unit}, {"runs", sample_count}}.dump());
}

void print_count(const std::string& name, std::uint64_t value, std::uint64_t sample_count)
{
    print_measurement(name, static_cast<double>(value), "requests", sample_count);
}

void print_distribution(const std::string& name, const load::latency_distribution& values,
                        std::uint64_t sample_count)
{
    print_measurement(name + "_median", values.median, "ms", sample_count);
    print_measurement(name + "_p99", values.p99, "ms", sample_count);
    print_measurement(name + "_worst", values.maximum, "ms", sample_count);
}

void print_summary(const load::load_summary& summary)
{
    print_count("requests", summary.requests, 1);
    print_count("answered", summary.answered, summary.requests);
    print_count("not_run", summary.not_run, summary.requests);
    print_count("outcome_unknown", summary.outcome_unknown, summary.requests);
    print_count("no_answer", summary.no_answer, summary.requests);
    print_measurement("answered_per_second", summary.answered_per_second, "1/s", summary.requests);
    print_measurement("replica_read_share", summary.replica_read_share, "ratio", summary.requests);
    print_distribution("read_latency_ms", summary.read_latency_ms, summary.requests);
    print_distribution("write_latency_ms", summary.write_latency_ms, summary.requests);
    for (const auto& [reason, count] : summary.reasons) {
        print_count("reason: " + reason, count, summary.requests);
    }
}

bool print_history_check(const load::check_result& check, std::uint64_t sample_count)
{
    print_count("acknowledged_writes", check.acknowledged_writes, sample_count);
    print_count("lost_writes", check.lost_writes, sample_count);
    print_count("lost_replicated_writes", check.lost_replicated_writes, sample_count);
    print_count("doubled_bookings", check.duplicate_bookings, sample_count);
    print_count("run_though_refused", check.run_despite_not_run, sample_count);
    print_count("stale_reads", check.stale_reads, sample_count);
    print_count("diverged_records", check.diverged_records, sample_count);
    return check.lost_replicated_writes + check.duplicate_bookings + check.run_despite_not_run +
               check.stale_reads + check.diverged_records ==
           0;
}

void print_failover_gaps(const std::vector<std::optional<milliseconds>>& gaps)
{
    std::vector<double> finished;
    for (const auto& gap : gaps) {
        if (gap) {
            finished.push_back(static_cast<double>(gap->count()));
            print_measurement("failover_gap_ms_one", finished.back(), "ms", 1);
        }
    }
    print_measurement("failover_gaps_without_end", static_cast<double>(gaps.size() - finished.size()),
                      "losses", gaps.size());
    if (finished.empty()) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    print_measurement("failover_gap_ms_median", finished[finished.size() / 2], "ms", finished.size());
    print_measurement("failover_gap_ms_worst", finished.back(), "ms", finished.size());
}

/// Reads the times of server losses from lines `SERVER UNIX_MILLISECONDS`. An empty file name gives none.
result<std::vector<load::server_failure>> read_losses(const std::string& file)
{
    std::vector<load::server_failure> losses;
    if (file.empty()) {
        return losses;
    }
    BOOST_LEAF_AUTO(text, settings::read_file(file));
    std::istringstream lines(text);
    std::string server;
    std::int64_t lost_at = 0;
    while (lines >> server >> lost_at) {
        losses.push_back({backend_server_name{server}, unix_milliseconds{lost_at}});
    }
    return losses;
}

std::vector<group_name> parse_group_names(std::string text)
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
    BOOST_LEAF_AUTO(comparison, load::compare_paths(entry, backend, options));
    const auto sample_count = static_cast<std::uint64_t>(options.statement_count);
    print_distribution("direct_ms", comparison.direct_ms, sample_count);
    print_distribution("through_entry_host_ms", comparison.through_entry_ms, sample_count);
    print_measurement("path_overhead_ms_median",
                      comparison.through_entry_ms.median - comparison.direct_ms.median, "ms", sample_count);
    return EXIT_SUCCESS;
}

result<int> run(const std::vector<std::string>& arguments)
{
    load::load_options run_options;
    int path_comparison_rounds = 0;
    std::string claim_addresses;
    int claim_window = 256;
    std::string entry_addresses;
    std::string backend_addresses;
    std::string groups;
    std::string losses_file;
    int seed = 1;
    int duration_ms = 10'000;
    int timeout_ms = 4000;
    int replicated_flag = 0;
    int settle_delay_ms = 1000;
    command_line::option_parser options("--entries HOSTS --backends HOSTS --groups NAMES");
    options.add("entries", entry_addresses, "entry hosts, separated by commas", "ADDRESS:PORT,…");
    options.add("backends", backend_addresses, "backend servers whose logs are checked after the run",
                "ADDRESS:PORT,…");
    options.add("groups", groups, "database groups, separated by commas", "NAME,…");
    options.add("read-class", run_options.read_class, "request class of the reads", "NAME");
    options.add("write-class", run_options.write_class, "request class of the writes", "NAME");
    options.add("booking-class", run_options.booking_class,
                "request class of the bookings, which run at most once", "NAME");
    options.add("sessions", run_options.sessions, "sessions, each of which switches between the entry hosts",
                "COUNT");
    options.add("rate", run_options.requests_per_second, "requests per second over all sessions", "COUNT");
    options.add("read-percent", run_options.read_percent, "percentage of requests that are reads", "PERCENT");
    options.add("booking-percent", run_options.booking_percent, "percentage of writes that are bookings",
                "PERCENT");
    options.add("seed", seed, "seed of the random number generator", "NUMBER");
    options.add("duration-ms", duration_ms, "duration of the run", "MS");
    options.add("timeout-ms", timeout_ms, "timeout of a request at the caller", "MS");
    options.add("settle-ms", settle_delay_ms, "delay between the run and the log check", "MS");
    options.add("losses", losses_file, "file of lines 'SERVER UNIX_MILLISECONDS' for failover gaps", "FILE");
    options.add("compare-path", path_comparison_rounds,
                "instead of the load run: latency of this many statements to the first backend server, "
                "direct and through the first entry host",
                "COUNT");
    options.add("claims", claim_addresses,
                "instead of the load run: send claims to these internal addresses of the control hosts",
                "ADDRESS:PORT,…");
    options.add("claim-window", claim_window, "maximum number of outstanding claims", "COUNT");
    options.add_flag("replicated", replicated_flag, "a replica also acknowledges writes of the write class");
    BOOST_LEAF_CHECK(options.parse(arguments));
    if (!claim_addresses.empty()) {
        BOOST_LEAF_AUTO(control_links, operations::parse_endpoints(claim_addresses));
        const std::uint64_t granted =
            load::run_claims({control_links, claim_window, milliseconds{duration_ms}});
        print_measurement("claims_per_second", static_cast<double>(granted) * 1000 / duration_ms, "1/s",
                          granted);
        return EXIT_SUCCESS;
    }
    BOOST_LEAF_ASSIGN(run_options.entry_hosts, operations::parse_endpoints(entry_addresses));
    run_options.groups = parse_group_names(groups);
    if (run_options.groups.empty() || run_options.sessions < 1 || run_options.requests_per_second < 1) {
        return fail("command_line", "", "expected at least one group, and --sessions and --rate above zero");
    }
    run_options.seed = static_cast<std::uint32_t>(seed);
    run_options.duration = milliseconds{duration_ms};
    run_options.timeout = milliseconds{timeout_ms};
    run_options.is_write_class_replicated = replicated_flag != 0;
    if (!backend_addresses.empty()) {
        BOOST_LEAF_ASSIGN(run_options.backend_servers, operations::parse_endpoints(backend_addresses));
    }
    if (path_comparison_rounds > 0 && !run_options.backend_servers.empty()) {
        return compare_paths(run_options.entry_hosts.front(), run_options.backend_servers.front(),
                             {run_options.groups.front(), run_options.write_class, path_comparison_rounds});
    }
    const std::vector<load::request_trace> traces = load::run_load(run_options);
    std::this_thread::sleep_for(milliseconds{settle_delay_ms});
    const load::load_summary summary = load::summarize(traces, run_options.duration);
    print_summary(summary);
    BOOST_LEAF_AUTO(losses, read_losses(losses_file));
    if (!losses.empty()) {
        print_failover_gaps(load::failover_gaps(traces, losses));
    }
    const auto histories = load::read_histories(run_options.backend_servers);
    const bool is_consistent = print_history_check(
        load::check_histories(traces, histories, run_options.is_write_class_replicated), summary.requests);
    return is_consistent ? EXIT_SUCCESS : exit_violation_found;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              fmt::print(stderr, "hickorymount-load: {}\n", to_string(error));
                              return EXIT_FAILURE;
                          });
}
