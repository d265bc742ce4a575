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

/// `file:line:column: expected …`
std::string to_string(const questionnaire_problem& problem);

} // namespace hickorymount::configuration
