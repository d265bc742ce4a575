#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorymount::configuration {

enum class statement_kind
{
    read,
    write
};

/// When a write is acknowledged: by the primary alone, or once a replica holds it too.
enum class acknowledgement
{
    primary,
    replica
};

/// What the questionnaire says of one class of requests.
struct class_settings
{
    statement_kind kind = statement_kind::read;
    /// Greatest age of a read's data; without it, the session's own writes are the only bound.
    std::optional<milliseconds> max_age;
    acknowledgement acknowledged_by = acknowledgement::primary;
    /// False for requests that need at-most-once semantics; these carry the caller's key.
    bool repeatable = true;
    /// How long a key's outcome is remembered. Zero for repeatable classes.
    milliseconds key_retention{0};
    /// Longest time a request may take when the caller names no deadline.
    milliseconds deadline{0};
    /// Most requests of this class that wait at one entry host, for each group.
    std::uint32_t queue_limit = 0;

    friend bool operator==(const class_settings&, const class_settings&) = default;
};

/// What the questionnaire says of one service; its instances form one database group.
struct group_settings
{
    std::uint32_t instances = 0;
    /// Statements that one instance runs at once.
    std::uint32_t slots = 0;
    /// Connections that one instance accepts from all entry hosts together.
    std::uint32_t connections = 0;
    milliseconds connection_cost{0};

    friend bool operator==(const group_settings&, const group_settings&) = default;
};

/// Which servers of a group may run the reads of a database.
enum class read_consistency
{
    /// Every read sees every acknowledged commit.
    primary,
    /// A read sees what was acknowledged longer than `max_staleness` ago.
    bounded_staleness,
    /// The same, and every commit of its own session.
    read_your_writes
};

/// A database name that callers open sessions to, and the group that serves it.
struct database_route
{
    std::string name;
    std::string database;
    /// Routes to one database name differ in this; sessions take the shortest.
    std::string path_prefix;
    group_name group;
    read_consistency consistency = read_consistency::primary;
    /// Not used with `primary`.
    milliseconds max_staleness{0};
    /// Longest time for one statement.
    milliseconds statement_timeout{0};
    /// The time within which a whole operation should end.
    milliseconds target_latency{0};
    /// Zero is served first.
    std::uint32_t priority = 0;
    /// Backend servers that a statement may be offered to, one after the other.
    std::uint32_t max_attempts = 1;

    friend bool operator==(const database_route&, const database_route&) = default;
};

/// Generated from a questionnaire, and the same on every host.
struct configuration
{
    std::string deployment;
    tenant_name tenant;
    std::vector<availability_zone> zones;
    /// Entry hosts that share the connections of each instance.
    std::uint32_t entry_hosts = 0;
    std::map<group_name, group_settings> groups;
    std::map<class_name, class_settings> classes;
    /// Databases for callers that open sessions.
    std::vector<database_route> databases;
    /// A transaction without a statement for this long may be ended.
    milliseconds transaction_idle_timeout{10'000};
    /// The operator's own document, shown back to operators as it was sent. Empty for a questionnaire.
    std::string source;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Increases by one with each accepted change; zero before the first.
using configuration_version = std::uint64_t;

struct versioned_configuration
{
    configuration_version version = 0;
    configuration content;

    friend bool operator==(const versioned_configuration&, const versioned_configuration&) = default;
};

/// One thing that is wrong in a questionnaire.
struct questionnaire_problem
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string expected;

    friend bool operator==(const questionnaire_problem&, const questionnaire_problem&) = default;
};

/// What is wrong with the databases of a configuration, in one line; empty when nothing is.
std::string databases_problem(const configuration& checked);

/// `file:line:column: expected …`
std::string to_string(const questionnaire_problem& problem);

} // namespace hickorymount::configuration
