#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "database/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Callers under load, and the comparison of what they were told with what the databases hold.
namespace hickorymount::load {

struct load_options
{
    std::vector<protocol::endpoint> entry_hosts;
    /// Backend servers whose logs are compared at the end; of each group the furthest counts.
    std::vector<protocol::endpoint> backend_servers;
    std::vector<group_name> groups;
    std::string read_class;
    std::string write_class;
    /// A class that must not repeat; empty for none.
    std::string booking_class;
    std::uint32_t seed = 1;
    /// Sessions that roam among the entry hosts, each with one request at a time.
    int sessions = 16;
    /// Requests a second of all sessions together, as they arrive whatever the answers take.
    int rate = 200;
    int read_percent = 70;
    /// Of the writes.
    int booking_percent = 10;
    milliseconds duration{10'000};
    milliseconds timeout{4000};
    /// The write class is acknowledged by a replica, too.
    bool is_write_replicated = false;

    friend bool operator==(const load_options&, const load_options&) = default;
};

enum class request_kind
{
    read,
    write,
    booking
};

enum class told_outcome
{
    answered,
    not_run,
    unknown,
    no_answer
};

/// One request and what its caller was told.
struct request_trace
{
    request_kind kind = request_kind::read;
    group_name group;
    std::string key;
    std::string value;
    /// Sent with a request that must not repeat; the same when it is sent again.
    std::string request_key;
    int session = 0;
    /// From the time at which the request was due, so that waiting for a busy session counts.
    double took_ms = 0;
    unix_milliseconds ended_at{0};
    told_outcome outcome = told_outcome::no_answer;
    std::string reason;
    std::string served_by;
    bool is_replica = false;
    bool is_repeated = false;
    /// A read that did not show the session's own last acknowledged write.
    bool is_stale = false;

    friend bool operator==(const request_trace&, const request_trace&) = default;
};

/// Faults that a caller must never meet, counted.
struct check_result
{
    std::uint64_t acknowledged = 0;
    /// Acknowledged, and not in the final history.
    std::uint64_t lost = 0;
    /// Acknowledged by a replica, too, and not in the final history.
    std::uint64_t lost_replicated = 0;
    /// A booking that is in the final history more than once.
    std::uint64_t doubled = 0;
    /// Told "not run", and in the final history.
    std::uint64_t run_though_refused = 0;
    std::uint64_t stale = 0;
    /// Records of a group's servers that differ at one position.
    std::uint64_t diverged = 0;

    friend bool operator==(const check_result&, const check_result&) = default;
};

struct distribution
{
    double median = 0;
    double p99 = 0;
    double worst = 0;

    friend bool operator==(const distribution&, const distribution&) = default;
};

struct load_summary
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t no_answer = 0;
    double replica_read_share = 0;
    distribution read_ms;
    distribution write_ms;
    double answered_per_second = 0;
    std::map<std::string, std::uint64_t> reasons;

    friend bool operator==(const load_summary&, const load_summary&) = default;
};

/// A backend server that was taken away on purpose.
struct server_loss
{
    backend_server_name server;
    unix_milliseconds at{0};

    friend bool operator==(const server_loss&, const server_loss&) = default;
};

/// The records of one backend server, oldest first.
struct server_history
{
    backend_server_name server;
    group_name group;
    std::uint64_t term = 0;
    std::vector<database::log_record> records;

    friend bool operator==(const server_history&, const server_history&) = default;
};

} // namespace hickorymount::load
