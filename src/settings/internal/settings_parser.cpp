#include "settings/types.h"

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace hickorymount::settings {

namespace {

constexpr std::int64_t caller_connections_limit = 10'000;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr std::int64_t max_memory_mb = 1 << 24;
constexpr std::int64_t max_descriptors = 1 << 30;
constexpr std::int64_t max_buffer_kb = 1 << 30;
/// Buffers hold at least two of the longest messages.
constexpr std::int64_t min_buffer_kb = 2048;

/// Fails with the position in the settings file and the expected value.
leaf::error_id fail_at(const toml::source_region& region, const std::string& file,
                       const std::string& expected)
{
    return fail("settings", "",
                fmt::format("{}:{}:{}: expected {}", file, region.begin.line, region.begin.column, expected));
}

/// Reads the values of one settings file.
class settings_reader
{
public:
    settings_reader(const toml::table& table, std::string file) : m_table(table), m_file(std::move(file)) {}

    result<void> reject_unknown_keys(std::initializer_list<std::string_view> known_keys) const
    {
        for (const auto& [key, node] : m_table) {
            if (std::find(known_keys.begin(), known_keys.end(), key.str()) == known_keys.end()) {
                return fail_at(key.source(), m_file,
                               fmt::format("one of {}, not '{}'", fmt::join(known_keys, ", "), key.str()));
            }
        }
        return {};
    }

    [[nodiscard]] result<std::string> read_string(std::string_view key) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return fail_at(m_table.source(), m_file, fmt::format("'{}', which is missing", key));
        }
        const auto value = node->value_exact<std::string>();
        if (!value || value->empty()) {
            return fail_at(node->source(), m_file, fmt::format("'{}' to be a non-empty string", key));
        }
        return *value;
    }

    [[nodiscard]] result<std::string> read_name(std::string_view key) const
    {
        BOOST_LEAF_AUTO(value, read_string(key));
        const auto is_allowed = [](char character) {
            return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
                   character == '-';
        };
        if (!std::all_of(value.begin(), value.end(), is_allowed)) {
            return fail_at(m_table.get(key)->source(), m_file,
                           fmt::format("'{}' to be a name of a-z, 0-9 and '-'", key));
        }
        return value;
    }

    [[nodiscard]] result<endpoint> read_address(std::string_view key) const
    {
        BOOST_LEAF_AUTO(value, read_string(key));
        const auto parsed = protocol::parse_endpoint(value);
        if (!parsed) {
            return fail_at(m_table.get(key)->source(), m_file,
                           fmt::format("'{}' to be an IP number and port", key));
        }
        return *parsed;
    }

    [[nodiscard]] result<std::uint32_t> read_count(std::string_view key, std::uint32_t default_value,
                                                   std::int64_t maximum, std::int64_t minimum = 1) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return default_value;
        }
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < minimum || *value > maximum) {
            return fail_at(node->source(), m_file,
                           fmt::format("'{}' to be a whole number from {} to {}", key, minimum, maximum));
        }
        return static_cast<std::uint32_t>(*value);
    }

    [[nodiscard]] result<std::optional<std::uint32_t>>
    read_optional_count(std::string_view key, std::int64_t maximum, std::int64_t minimum) const
    {
        if (m_table.get(key) == nullptr) {
            return std::optional<std::uint32_t>{};
        }
        BOOST_LEAF_AUTO(value, read_count(key, 0, maximum, minimum));
        return std::optional(value);
    }

    [[nodiscard]] result<milliseconds> read_duration(std::string_view key, milliseconds default_value) const
    {
        BOOST_LEAF_AUTO(value,
                        read_count(key, static_cast<std::uint32_t>(default_value.count()), max_milliseconds));
        return milliseconds{value};
    }

    [[nodiscard]] result<host_resources> read_resources() const
    {
        host_resources resources;
        BOOST_LEAF_ASSIGN(resources.memory_mb, read_count("memory_mb", resources.memory_mb, max_memory_mb));
        BOOST_LEAF_ASSIGN(resources.max_descriptors,
                          read_count("max_descriptors", resources.max_descriptors, max_descriptors));
        return resources;
    }

    [[nodiscard]] result<std::optional<endpoint>> read_optional_address(std::string_view key) const
    {
        if (m_table.get(key) == nullptr) {
            return std::optional<endpoint>{};
        }
        BOOST_LEAF_AUTO(value, read_address(key));
        return std::optional(std::move(value));
    }

    [[nodiscard]] result<bool> read_flag(std::string_view key) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return false;
        }
        const auto value = node->value_exact<bool>();
        if (!value) {
            return fail_at(node->source(), m_file, fmt::format("'{}' to be true or false", key));
        }
        return *value;
    }

    /// Reads the control hosts from `seeds`, a list of their operator addresses. The name of each control
    /// host is its address for internal connections: the IP number of the seed with `link_port`.
    [[nodiscard]] result<std::vector<control_host>> read_seeds(std::uint16_t link_port) const
    {
        const toml::array* array = m_table.get("seeds")->as_array();
        if (array == nullptr) {
            return fail_at(m_table.get("seeds")->source(), m_file, "'seeds' to be a list of addresses");
        }
        std::vector<control_host> hosts;
        for (const toml::node& item : *array) {
            const auto parsed = protocol::parse_endpoint(item.value_exact<std::string>().value_or(""));
            if (!parsed) {
                return fail_at(item.source(), m_file, "a seed to be an IP number and port");
            }
            const endpoint link{parsed->address, link_port};
            hosts.push_back({host_name{to_string(link)}, link});
        }
        return hosts;
    }

    [[nodiscard]] bool contains(std::string_view key) const { return m_table.get(key) != nullptr; }

    [[nodiscard]] result<logging::log_level> read_log_level() const
    {
        const toml::node* node = m_table.get("log_level");
        if (node == nullptr) {
            return logging::log_level::information;
        }
        const auto value = node->value_exact<std::string>().value_or("");
        if (value == "debug") {
            return logging::log_level::debug;
        }
        if (value == "info") {
            return logging::log_level::information;
        }
        if (value == "warning") {
            return logging::log_level::warning;
        }
        return fail_at(node->source(), m_file, "'log_level' to be \"debug\", \"info\" or \"warning\"");
    }

    [[nodiscard]] result<std::vector<control_host>> read_control_hosts() const
    {
        const toml::node* node = m_table.get("control_hosts");
        if (node == nullptr) {
            return fail_at(m_table.source(), m_file, "'control_hosts', which is missing");
        }
        const toml::array* array = node->as_array();
        if (array == nullptr) {
            return fail_at(node->source(), m_file, "'control_hosts' to be a list of {name, address}");
        }
        std::vector<control_host> hosts;
        for (const toml::node& item : *array) {
            const toml::table* table = item.as_table();
            if (table == nullptr) {
                return fail_at(item.source(), m_file, "a control host to be {name, address}");
            }
            const settings_reader reader(*table, m_file);
            BOOST_LEAF_CHECK(reader.reject_unknown_keys({"name", "address"}));
            control_host host;
            BOOST_LEAF_ASSIGN(host.name.value, reader.read_name("name"));
            BOOST_LEAF_ASSIGN(host.address, reader.read_address("address"));
            hosts.push_back(std::move(host));
        }
        return hosts;
    }

private:
    const toml::table& m_table;
    std::string m_file;
};

result<toml::table> parse(const std::string& toml_text, const std::string& file)
{
    try {
        return toml::parse(toml_text, file);
    } catch (const toml::parse_error& error) {
        return fail_at(error.source(), file,
                       fmt::format("valid TOML: {}", std::string_view(error.description())));
    }
}

} // namespace

result<control_settings> parse_control_settings(const std::string& toml_text, const std::string& file)
{
    BOOST_LEAF_AUTO(table, parse(toml_text, file));
    const settings_reader reader(table, file);
    BOOST_LEAF_CHECK(reader.reject_unknown_keys({"name", "link", "operators", "data_folder", "control_hosts",
                                                 "seeds", "founds", "promotions", "report_interval_ms",
                                                 "metrics", "memory_mb", "max_descriptors", "log_level"}));
    control_settings host_settings;
    BOOST_LEAF_ASSIGN(host_settings.internal_address, reader.read_address("link"));
    BOOST_LEAF_ASSIGN(host_settings.operator_address, reader.read_address("operators"));
    BOOST_LEAF_ASSIGN(host_settings.data_folder, reader.read_string("data_folder"));
    if (reader.contains("seeds")) {
        host_settings.name.value = to_string(host_settings.internal_address);
        BOOST_LEAF_ASSIGN(host_settings.control_hosts,
                          reader.read_seeds(host_settings.internal_address.port));
    } else {
        BOOST_LEAF_ASSIGN(host_settings.name.value, reader.read_name("name"));
        BOOST_LEAF_ASSIGN(host_settings.control_hosts, reader.read_control_hosts());
    }
    BOOST_LEAF_ASSIGN(host_settings.bootstraps_cluster, reader.read_flag("founds"));
    BOOST_LEAF_ASSIGN(host_settings.promotion_address, reader.read_optional_address("promotions"));
    BOOST_LEAF_ASSIGN(host_settings.metrics_address, reader.read_optional_address("metrics"));
    BOOST_LEAF_AUTO(report_interval,
                    reader.read_count("report_interval_ms",
                                      static_cast<std::uint32_t>(host_settings.report_interval.count()),
                                      max_milliseconds));
    host_settings.report_interval = milliseconds{report_interval};
    BOOST_LEAF_ASSIGN(host_settings.resources, reader.read_resources());
    BOOST_LEAF_ASSIGN(host_settings.log_level, reader.read_log_level());
    return host_settings;
}

result<entry_settings> parse_entry_settings(const std::string& toml_text, const std::string& file)
{
    BOOST_LEAF_AUTO(table, parse(toml_text, file));
    const settings_reader reader(table, file);
    BOOST_LEAF_CHECK(reader.reject_unknown_keys({"name",
                                                 "availability_zone",
                                                 "callers",
                                                 "sessions",
                                                 "relay",
                                                 "control_hosts",
                                                 "seeds",
                                                 "link_port",
                                                 "stop_time_ms",
                                                 "metrics",
                                                 "caller_connections",
                                                 "memory_mb",
                                                 "max_descriptors",
                                                 "max_sessions",
                                                 "max_relay_sessions",
                                                 "session_buffer_kb",
                                                 "relay_buffer_kb",
                                                 "opening_timeout_ms",
                                                 "message_timeout_ms",
                                                 "buffer_wait_timeout_ms",
                                                 "log_level"}));
    entry_settings host_settings;
    BOOST_LEAF_ASSIGN(host_settings.name.value, reader.read_name("name"));
    BOOST_LEAF_ASSIGN(host_settings.zone.value, reader.read_name("availability_zone"));
    BOOST_LEAF_ASSIGN(host_settings.caller_address, reader.read_address("callers"));
    if (reader.contains("seeds")) {
        BOOST_LEAF_AUTO(link_port, reader.read_count("link_port", 0, max_port));
        BOOST_LEAF_ASSIGN(host_settings.control_hosts,
                          reader.read_seeds(static_cast<std::uint16_t>(link_port)));
    } else {
        BOOST_LEAF_ASSIGN(host_settings.control_hosts, reader.read_control_hosts());
    }
    BOOST_LEAF_ASSIGN(host_settings.session_address, reader.read_optional_address("sessions"));
    BOOST_LEAF_ASSIGN(host_settings.relay_address, reader.read_optional_address("relay"));
    BOOST_LEAF_ASSIGN(host_settings.metrics_address, reader.read_optional_address("metrics"));
    BOOST_LEAF_AUTO(stop_time,
                    reader.read_count("stop_time_ms",
                                      static_cast<std::uint32_t>(host_settings.shutdown_timeout.count()),
                                      max_milliseconds));
    host_settings.shutdown_timeout = milliseconds{stop_time};
    BOOST_LEAF_ASSIGN(host_settings.max_caller_connections,
                      reader.read_count("caller_connections", host_settings.max_caller_connections,
                                        caller_connections_limit));
    BOOST_LEAF_ASSIGN(host_settings.resources, reader.read_resources());
    client_limits& callers = host_settings.callers;
    BOOST_LEAF_ASSIGN(callers.opening_timeout,
                      reader.read_duration("opening_timeout_ms", callers.opening_timeout));
    BOOST_LEAF_ASSIGN(callers.message_timeout,
                      reader.read_duration("message_timeout_ms", callers.message_timeout));
    BOOST_LEAF_ASSIGN(callers.buffer_wait_timeout,
                      reader.read_duration("buffer_wait_timeout_ms", callers.buffer_wait_timeout));
    host_settings.relays = callers;
    BOOST_LEAF_ASSIGN(callers.max_connections,
                      reader.read_optional_count("max_sessions", max_descriptors, 1));
    BOOST_LEAF_ASSIGN(callers.buffer_kb,
                      reader.read_optional_count("session_buffer_kb", max_buffer_kb, min_buffer_kb));
    BOOST_LEAF_ASSIGN(host_settings.relays.max_connections,
                      reader.read_optional_count("max_relay_sessions", max_descriptors, 1));
    BOOST_LEAF_ASSIGN(host_settings.relays.buffer_kb,
                      reader.read_optional_count("relay_buffer_kb", max_buffer_kb, min_buffer_kb));
    BOOST_LEAF_ASSIGN(host_settings.log_level, reader.read_log_level());
    return host_settings;
}

result<std::string> read_file(const std::string& file)
{
    const std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return fail("read", file, "the file can't be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace hickorymount::settings
