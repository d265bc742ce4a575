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

/// Whether a statement reads or writes data.
enum class statement_kind
{
    read,
    write
};

/// Which servers must hold a write before it is acknowledged: the primary alone, or also a replica.
enum class acknowledgement_level
{
    primary,
    replica
};

/// Settings of one class of requests, from the questionnaire.
struct class_settings
{
    statement_kind kind = statement_kind::read;
    /// Maximum staleness of the data that a read returns. Without it, a read need only see its session's own
    /// writes.
    std::optional<milliseconds> max_age;
    acknowledgement_level acknowledged_by = acknowledgement_level::primary;
    /// False for requests with at-most-once semantics, which carry a request key from the caller.
    bool repeatable = true;
    /// How long the outcome of a request key is stored. Zero for repeatable classes.
    milliseconds key_retention{0};
    /// Time limit of a request whose caller gives no deadline.
    milliseconds deadline{0};
    /// Maximum number of requests of this class that wait at one entry host, per group.
    std::uint32_t queue_limit = 0;

    friend bool operator==(const class_settings&, const class_settings&) = default;
};

/// Settings of one service, from the questionnaire. The service's instances form one database group.
struct group_settings
{
    /// Backend servers in the group.
    std::uint32_t instances = 0;
    /// Maximum number of concurrent statements per instance.
    std::uint32_t slots = 0;
    /// Maximum number of connections per instance, over all entry hosts.
    std::uint32_t connections = 0;
    /// Time to open one connection.
    milliseconds connection_setup_time{0};

    friend bool operator==(const group_settings&, const group_settings&) = default;
};

/// Consistency that reads of a database need, which decides the servers of the group that may run them.
enum class read_consistency
{
    /// Every read sees every acknowledged commit.
    primary,
    /// A read sees every commit acknowledged more than `max_staleness` ago.
    bounded_staleness,
    /// As `bounded_staleness`; a read also sees every earlier commit of its own session.
    read_your_writes
};

/// Maps a database name that callers open sessions to onto the group that serves it.
struct database_route
{
    std::string name;
    std::string database;
    /// Distinguishes routes with the same database name; sessions use the route with the shortest prefix.
    std::string path_prefix;
    group_name group;
    read_consistency consistency = read_consistency::primary;
    /// Ignored with `read_consistency::primary`.
    milliseconds max_staleness{0};
    /// Time limit of one statement.
    milliseconds statement_timeout{0};
    /// Target duration of a whole operation.
    milliseconds target_latency{0};
    /// Lower values are served first; zero is the highest priority.
    std::uint32_t priority = 0;
    /// Maximum number of backend servers tried in turn for one statement.
    std::uint32_t max_attempts = 1;
    /// Callers need no key, and belong to no customer.
    bool is_public = false;

    friend bool operator==(const database_route&, const database_route&) = default;
};

/// Limit on a customer's operations, over all entry hosts. An operation is a single statement or a
/// transaction.
struct operation_limit
{
    double operations_per_second = 0;
    /// Operations that may run at once after a pause.
    double burst = 0;

    friend bool operator==(const operation_limit&, const operation_limit&) = default;
};

/// One customer whose callers identify themselves by a key.
struct customer_settings
{
    /// Lower values are served first; zero is the highest priority.
    std::uint32_t priority = 0;
    std::optional<operation_limit> limit;
    /// Digests of the customer's keys, see `digest_of_key`. Only the operator's document holds the keys.
    std::vector<key_digest> keys;

    friend bool operator==(const customer_settings&, const customer_settings&) = default;
};

/// Configuration of the whole deployment, the same on every host. It is generated from a questionnaire or
/// decoded from an operator's document.
struct configuration
{
    std::string deployment;
    tenant_name tenant;
    std::vector<availability_zone> zones;
    /// Number of entry hosts, which share the connections of each instance.
    std::uint32_t entry_host_count = 0;
    std::map<group_name, group_settings> groups;
    std::map<class_name, class_settings> classes;
    /// Routes of the databases that callers open sessions to.
    std::vector<database_route> database_routes;
    /// Callers need a key of a customer, except on public routes. False if the configuration lists no
    /// customers at all; then all callers are served alike.
    bool identifies_customers = false;
    std::map<customer_name, customer_settings> customers;
    /// A transaction that runs no statement for this long may be aborted.
    milliseconds transaction_idle_timeout{10'000};
    /// Text of the operator's document, returned to operators unchanged. Empty for a questionnaire.
    std::string source_document;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Increases by one with each accepted change; zero before the first change.
using configuration_version = std::uint64_t;

/// A configuration and the version under which it was accepted.
struct versioned_configuration
{
    configuration_version version = 0;
    configuration content;

    friend bool operator==(const versioned_configuration&, const versioned_configuration&) = default;
};

/// Identifies a route: no two routes share the database name and the path prefix.
struct route_key
{
    std::string database;
    std::string path_prefix;

    friend auto operator<=>(const route_key&, const route_key&) = default;
    friend bool operator==(const route_key&, const route_key&) = default;
};

/// Routes in columns, with equal settings stored once. Large configurations consist of many routes that
/// differ in their names only. The names of the routes themselves are left out, since entry hosts do not use
/// them.
struct route_table
{
    /// Distinct settings of the routes, as routes without `name` and `database`.
    std::vector<database_route> settings;
    std::vector<std::string> databases;
    /// For each route, its index in `settings`.
    std::vector<std::uint32_t> settings_indexes;

    friend bool operator==(const route_table&, const route_table&) = default;
};

/// The changes that turn one version of the configuration into another, for entry hosts. What only operators
/// read is left out: their document and the names of routes.
struct configuration_difference
{
    /// The version to which the changes apply; zero stands for the empty configuration, so that the
    /// difference is complete.
    configuration_version base_version = 0;
    configuration_version version = 0;
    /// The configuration without its routes and customers, if it differs from that of the base.
    std::optional<configuration> settings;
    std::vector<route_key> removed_routes;
    /// New routes, and those whose settings have changed.
    route_table changed_routes;
    std::vector<customer_name> removed_customers;
    /// New customers, and those whose settings have changed.
    std::map<customer_name, customer_settings> changed_customers;

    friend bool operator==(const configuration_difference&, const configuration_difference&) = default;
};

/// One error in a questionnaire, with its position.
struct questionnaire_problem
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// What the position should hold; the text follows the word "expected".
    std::string expected;

    friend bool operator==(const questionnaire_problem&, const questionnaire_problem&) = default;
};

/// Validates the database routes: known groups, statement timeouts above zero and no duplicate routes.
/// Returns the first error as one line, or an empty string.
std::string first_route_error(const configuration& candidate);

/// Validates the customers: no key of two customers, and limits that are not negative. Returns the first
/// error as one line, or an empty string. The error names no key.
std::string first_customer_error(const configuration& candidate);

/// `file:line:column: expected …`
std::string to_string(const questionnaire_problem& problem);

} // namespace hickorymount::configuration
