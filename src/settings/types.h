#pragma once

#include "base/error.h"
#include "base/identifier.h"
#include "logging/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What one host is. Everything that operators decide comes from the questionnaire instead.
namespace hickorymount::settings {

using protocol::endpoint;

/// Where a control host accepts the system's own processes.
struct control_host
{
    host_name name;
    endpoint address;

    friend bool operator==(const control_host&, const control_host&) = default;
};

struct control_settings
{
    host_name name;
    /// Accepts the system's own processes.
    endpoint link;
    /// Accepts operators.
    endpoint operators;
    std::string data_folder;
    /// The other control hosts.
    std::vector<control_host> control_hosts;
    /// With its seeds, founds the group of control hosts when its data folder is empty.
    bool founds = false;
    /// Where the platform takes orders for promotions; without it, entry hosts carry them.
    std::optional<endpoint> promotions;
    /// How often backend servers report.
    milliseconds report_interval = protocol::usual_report_interval;
    /// Serves metrics beside `operators`.
    std::optional<endpoint> metrics;
    logging::log_level log_level = logging::log_level::information;

    friend bool operator==(const control_settings&, const control_settings&) = default;
};

struct entry_settings
{
    host_name name;
    availability_zone zone;
    /// Accepts callers, backend servers' announcements and the balancer.
    endpoint callers;
    std::vector<control_host> control_hosts;
    /// Accepts callers' sessions; without it, there are none.
    std::optional<endpoint> sessions;
    /// Runs statements of other entry hosts, which pass them on there; without it, it does so for none.
    std::optional<endpoint> relay;
    /// Time from the order to stop until the process is ended.
    milliseconds stop_time{6000};
    /// Serves metrics beside `callers`.
    std::optional<endpoint> metrics;
    /// Callers' connections held open at once.
    std::uint32_t caller_connections = 64;
    logging::log_level log_level = logging::log_level::information;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// Parses a control host's settings. Errors name file, line, column and what was expected.
result<control_settings> parse_control_settings(const std::string& toml_text, const std::string& file);
result<entry_settings> parse_entry_settings(const std::string& toml_text, const std::string& file);

/// The whole file. Errors: it can't be read.
result<std::string> read_file(const std::string& file);

} // namespace hickorymount::settings
