#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "database/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// A load generator, and a check of the answers that it got against the logs of the backend servers.
namespace hickorymount::load {

/// Settings of a load run.
struct load_options
{
    std::vector<protocol::endpoint> entry_hosts;
    /// Backend servers whose logs are checked after the run. The longest log in a group's highest term is
    /// final.
    std::vector<protocol::endpoint> backend_servers;
    std::vector<group_name> groups;
    std::string read_class;
    std::string write_class;
    /// A class whose requests must run at most once; empty sends no bookings.
    std::string booking_class;
    std::uint32_t seed = 1;
    /// Concurrent sessions. Each has one request outstanding and sends each request to a random entry host.
    int sessions = 16;
    /// Requests per second over all sessions, scheduled independently of response times.
    int requests_per_second = 200;
    int read_percent = 70;
    /// Share of the writes that are bookings.
    int booking_percent = 10;
    milliseconds duration{10'000};
    /// Sent to the entry host as the time limit of each request.
    milliseconds timeout{4000};
    /// True when a write of the write class is acknowledged only after a replica has it.
    bool is_write_class_replicated = false;

    friend bool operator==(const load_options&, const load_options&) = default;
};

/// The kind of a generated request.
enum class request_kind
{
    read,
    write,
    /// A write that must run at most once.
    booking
};

/// The outcome of a request as reported to its caller.
enum class request_outcome
{
    answered,
    not_run,
    unknown,
    no_answer
};

/// One request and the answer that its caller received.
struct request_trace
{
    request_kind kind = request_kind::read;
    group_name group;
    std::string key;
    std::string value;
    /// Sent with a booking. A repeated booking has the key of the first one.
    std::string request_key;
    int session = 0;
    /// Measured from the scheduled send time, so that it includes the wait for a busy session.
    double latency_ms = 0;
    unix_milliseconds ended_at{0};
    request_outcome outcome = request_outcome::no_answer;
    std::string reason;
    std::string served_by;
    /// The answer came from a replica.
    bool is_replica = false;
    /// The answer is the recorded one of an earlier request with the same key.
    bool is_repeated = false;
    /// A read that did not return the session's last acknowledged write.
    bool is_stale = false;

    friend bool operator==(const request_trace&, const request_trace&) = default;
};

/// Number of acknowledged writes, and of violations of each guarantee.
struct check_result
{
    std::uint64_t acknowledged_writes = 0;
    /// Acknowledged writes that are missing from the final history.
    std::uint64_t lost_writes = 0;
    /// Lost writes of a class that a replica acknowledges.
    std::uint64_t lost_replicated_writes = 0;
    /// Bookings that are in the final history more than once.
    std::uint64_t duplicate_bookings = 0;
    /// Keys that occur in the final history more often than their requests can have run, given those that got
    /// "not run".
    std::uint64_t run_despite_not_run = 0;
    std::uint64_t stale_reads = 0;
    /// Records that differ from the final history at the same position, on servers in the same term.
    std::uint64_t diverged_records = 0;

    friend bool operator==(const check_result&, const check_result&) = default;
};

/// Statistics of a set of samples, in the unit of the samples.
struct latency_distribution
{
    double median = 0;
    double p99 = 0;
    double maximum = 0;

    friend bool operator==(const latency_distribution&, const latency_distribution&) = default;
};

/// Outcomes and latencies of all requests of a run.
struct load_summary
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t no_answer = 0;
    /// Share of the answered reads that a replica served, from 0 to 1.
    double replica_read_share = 0;
    latency_distribution read_latency_ms;
    latency_distribution write_latency_ms;
    double answered_per_second = 0;
    /// Number of unanswered requests by reason.
    std::map<std::string, std::uint64_t> reasons;

    friend bool operator==(const load_summary&, const load_summary&) = default;
};

/// A failure of a backend server that the test script caused.
struct server_failure
{
    backend_server_name server;
    unix_milliseconds failed_at{0};

    friend bool operator==(const server_failure&, const server_failure&) = default;
};

/// The log of one backend server, oldest record first.
struct server_history
{
    backend_server_name server;
    group_name group;
    std::uint64_t term = 0;
    std::vector<database::log_record> records;

    friend bool operator==(const server_history&, const server_history&) = default;
};

} // namespace hickorymount::load
