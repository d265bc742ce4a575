#pragma once

#include "base/error.h"
#include "base/identifier.h"
#include "logging/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Settings of one host, read from the host's settings file. Settings of the whole deployment come from the
/// configuration instead.
namespace hickorymount::settings {

using protocol::endpoint;

/// Name of a control host, and its address for connections from other hosts of the system.
struct control_host
{
    host_name name;
    endpoint address;

    friend bool operator==(const control_host&, const control_host&) = default;
};

/// Memory and descriptors that a process may use.
struct host_resources
{
    std::uint32_t memory_mb = 160;
    std::uint32_t max_descriptors = 4300;

    friend bool operator==(const host_resources&, const host_resources&) = default;
};

/// Limits for clients of a port. Those that are not set follow from `host_resources`.
struct client_limits
{
    std::optional<std::uint32_t> max_connections;
    /// Bytes that all connections together may occupy, in KiB.
    std::optional<std::uint32_t> buffer_kb;
    milliseconds opening_timeout{20'000};
    milliseconds message_timeout{60'000};
    milliseconds buffer_wait_timeout{3000};

    friend bool operator==(const client_limits&, const client_limits&) = default;
};

/// Settings of a control host.
struct control_settings
{
    host_name name;
    /// Address for connections from other hosts of the system.
    endpoint internal_address;
    /// Address for operators' requests.
    endpoint operator_address;
    /// Folder of the control host's stored data.
    std::string data_folder;
    /// The other control hosts.
    std::vector<control_host> control_hosts;
    /// Whether this host bootstraps the cluster of control hosts, together with its seeds, when its data
    /// folder is empty.
    bool bootstraps_cluster = false;
    /// Address at which the platform accepts promotion requests; without it, entry hosts deliver them.
    std::optional<endpoint> promotion_address;
    /// Interval between the reports of a backend server.
    milliseconds report_interval = protocol::default_report_interval;
    /// Additional address that serves metrics, besides `operator_address`.
    std::optional<endpoint> metrics_address;
    host_resources resources{};
    logging::log_level log_level = logging::log_level::information;

    friend bool operator==(const control_settings&, const control_settings&) = default;
};

/// Settings of an entry host.
struct entry_settings
{
    host_name name;
    availability_zone zone;
    /// Address for callers' requests, backend servers' announcements and the load balancer's health checks.
    endpoint caller_address;
    /// Control hosts that the entry host connects to.
    std::vector<control_host> control_hosts;
    /// Address for callers' sessions; without it, the entry host accepts no sessions.
    std::optional<endpoint> session_address;
    /// Address for statements forwarded by other entry hosts; without it, the entry host accepts no forwarded
    /// statements.
    std::optional<endpoint> relay_address;
    /// Time from the stop request until the process is ended; sessions drain within this time.
    milliseconds shutdown_timeout{6000};
    /// Additional address that serves metrics, besides `caller_address`.
    std::optional<endpoint> metrics_address;
    /// Maximum number of caller connections kept open at once.
    std::uint32_t max_caller_connections = 64;
    host_resources resources{};
    /// Limits for callers' sessions, and for statements forwarded by other entry hosts.
    client_limits callers{};
    client_limits relays{};
    logging::log_level log_level = logging::log_level::information;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// Parses a control host's settings. Errors give file, line, column and the expected value.
result<control_settings> parse_control_settings(const std::string& toml_text, const std::string& file);
/// Parses an entry host's settings. Errors are as for `parse_control_settings`.
result<entry_settings> parse_entry_settings(const std::string& toml_text, const std::string& file);

/// Returns the whole content of `file`. Fails when the file can't be opened.
result<std::string> read_file(const std::string& file);

} // namespace hickorymount::settings
