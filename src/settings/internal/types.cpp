#include "settings/types.h"

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace hickorymount::settings {

namespace {

constexpr std::int64_t max_caller_connections = 10'000;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_milliseconds = 3'600'000;

leaf::error_id wrong(const toml::source_region& where, const std::string& file, const std::string& expected)
{
    return fail("settings", "",
                fmt::format("{}:{}:{}: expected {}", file, where.begin.line, where.begin.column, expected));
}

/// Reads the values of one settings file.
class settings_reader
{
public:
    settings_reader(const toml::table& table, std::string file) : m_table(table), m_file(std::move(file)) {}

    result<void> refuse_unknown(std::initializer_list<std::string_view> known) const
    {
        for (const auto& [key, node] : m_table) {
            if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
                return wrong(key.source(), m_file,
                             fmt::format("one of {}, not '{}'", fmt::join(known, ", "), key.str()));
            }
        }
        return {};
    }

    [[nodiscard]] result<std::string> text(std::string_view key) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return wrong(m_table.source(), m_file, fmt::format("'{}', which is missing", key));
        }
        const auto value = node->value_exact<std::string>();
        if (!value || value->empty()) {
            return wrong(node->source(), m_file, fmt::format("'{}' to be a text that is not empty", key));
        }
        return *value;
    }

    [[nodiscard]] result<std::string> name(std::string_view key) const
    {
        BOOST_LEAF_AUTO(value, text(key));
        const auto is_allowed = [](char each) {
            return (each >= 'a' && each <= 'z') || (each >= '0' && each <= '9') || each == '-';
        };
        if (!std::all_of(value.begin(), value.end(), is_allowed)) {
            return wrong(m_table.get(key)->source(), m_file,
                         fmt::format("'{}' to be a name of a-z, 0-9 and '-'", key));
        }
        return value;
    }

    [[nodiscard]] result<endpoint> address(std::string_view key) const
    {
        BOOST_LEAF_AUTO(value, text(key));
        const auto parsed = protocol::parse_endpoint(value);
        if (!parsed) {
            return wrong(m_table.get(key)->source(), m_file,
                         fmt::format("'{}' to be an IP number and port", key));
        }
        return *parsed;
    }

    [[nodiscard]] result<std::uint32_t> count(std::string_view key, std::uint32_t fallback,
                                              std::int64_t most) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > most) {
            return wrong(node->source(), m_file,
                         fmt::format("'{}' to be a whole number from 1 to {}", key, most));
        }
        return static_cast<std::uint32_t>(*value);
    }

    [[nodiscard]] result<std::optional<endpoint>> optional_address(std::string_view key) const
    {
        if (m_table.get(key) == nullptr) {
            return std::optional<endpoint>{};
        }
        BOOST_LEAF_AUTO(value, address(key));
        return std::optional(std::move(value));
    }

    [[nodiscard]] result<bool> flag(std::string_view key) const
    {
        const toml::node* node = m_table.get(key);
        if (node == nullptr) {
            return false;
        }
        const auto value = node->value_exact<bool>();
        if (!value) {
            return wrong(node->source(), m_file, fmt::format("'{}' to be true or false", key));
        }
        return *value;
    }

    /// Control hosts that are named by their link's address. Seeds give the address for operators.
    [[nodiscard]] result<std::vector<control_host>> seeds(std::uint16_t link_port) const
    {
        const toml::array* list = m_table.get("seeds")->as_array();
        if (list == nullptr) {
            return wrong(m_table.get("seeds")->source(), m_file, "'seeds' to be a list of addresses");
        }
        std::vector<control_host> hosts;
        for (const toml::node& item : *list) {
            const auto parsed = protocol::parse_endpoint(item.value_exact<std::string>().value_or(""));
            if (!parsed) {
                return wrong(item.source(), m_file, "a seed to be an IP number and port");
            }
            const endpoint link{parsed->address, link_port};
            hosts.push_back({host_name{to_string(link)}, link});
        }
        return hosts;
    }

    [[nodiscard]] bool has(std::string_view key) const { return m_table.get(key) != nullptr; }

    [[nodiscard]] result<logging::log_level> log_level() const
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
        return wrong(node->source(), m_file, "'log_level' to be \"debug\", \"info\" or \"warning\"");
    }

    [[nodiscard]] result<std::vector<control_host>> control_hosts() const
    {
        const toml::node* node = m_table.get("control_hosts");
        if (node == nullptr) {
            return wrong(m_table.source(), m_file, "'control_hosts', which is missing");
        }
        const toml::array* list = node->as_array();
        if (list == nullptr) {
            return wrong(node->source(), m_file, "'control_hosts' to be a list of {name, address}");
        }
        std::vector<control_host> hosts;
        for (const toml::node& item : *list) {
            const toml::table* table = item.as_table();
            if (table == nullptr) {
                return wrong(item.source(), m_file, "a control host to be {name, address}");
            }
            const settings_reader reader(*table, m_file);
            BOOST_LEAF_CHECK(reader.refuse_unknown({"name", "address"}));
            control_host host;
            BOOST_LEAF_ASSIGN(host.name.value, reader.name("name"));
            BOOST_LEAF_ASSIGN(host.address, reader.address("address"));
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
    } catch (const toml::parse_error& problem) {
        return wrong(problem.source(), file,
                     fmt::format("valid TOML: {}", std::string_view(problem.description())));
    }
}

} // namespace

result<control_settings> parse_control_settings(const std::string& toml_text, const std::string& file)
{
    BOOST_LEAF_AUTO(table, parse(toml_text, file));
    const settings_reader reader(table, file);
    BOOST_LEAF_CHECK(
        reader.refuse_unknown({"name", "link", "operators", "data_folder", "control_hosts", "seeds", "founds",
                               "promotions", "report_interval_ms", "metrics", "log_level"}));
    control_settings made;
    BOOST_LEAF_ASSIGN(made.link, reader.address("link"));
    BOOST_LEAF_ASSIGN(made.operators, reader.address("operators"));
    BOOST_LEAF_ASSIGN(made.data_folder, reader.text("data_folder"));
    if (reader.has("seeds")) {
        made.name.value = to_string(made.link);
        BOOST_LEAF_ASSIGN(made.control_hosts, reader.seeds(made.link.port));
    } else {
        BOOST_LEAF_ASSIGN(made.name.value, reader.name("name"));
        BOOST_LEAF_ASSIGN(made.control_hosts, reader.control_hosts());
    }
    BOOST_LEAF_ASSIGN(made.founds, reader.flag("founds"));
    BOOST_LEAF_ASSIGN(made.promotions, reader.optional_address("promotions"));
    BOOST_LEAF_ASSIGN(made.metrics, reader.optional_address("metrics"));
    BOOST_LEAF_AUTO(report_interval,
                    reader.count("report_interval_ms",
                                 static_cast<std::uint32_t>(made.report_interval.count()), max_milliseconds));
    made.report_interval = milliseconds{report_interval};
    BOOST_LEAF_ASSIGN(made.log_level, reader.log_level());
    return made;
}

result<entry_settings> parse_entry_settings(const std::string& toml_text, const std::string& file)
{
    BOOST_LEAF_AUTO(table, parse(toml_text, file));
    const settings_reader reader(table, file);
    BOOST_LEAF_CHECK(reader.refuse_unknown({"name", "availability_zone", "callers", "sessions", "relay",
                                            "control_hosts", "seeds", "link_port", "stop_time_ms", "metrics",
                                            "caller_connections", "log_level"}));
    entry_settings made;
    BOOST_LEAF_ASSIGN(made.name.value, reader.name("name"));
    BOOST_LEAF_ASSIGN(made.zone.value, reader.name("availability_zone"));
    BOOST_LEAF_ASSIGN(made.callers, reader.address("callers"));
    if (reader.has("seeds")) {
        BOOST_LEAF_AUTO(link_port, reader.count("link_port", 0, max_port));
        BOOST_LEAF_ASSIGN(made.control_hosts, reader.seeds(static_cast<std::uint16_t>(link_port)));
    } else {
        BOOST_LEAF_ASSIGN(made.control_hosts, reader.control_hosts());
    }
    BOOST_LEAF_ASSIGN(made.sessions, reader.optional_address("sessions"));
    BOOST_LEAF_ASSIGN(made.relay, reader.optional_address("relay"));
    BOOST_LEAF_ASSIGN(made.metrics, reader.optional_address("metrics"));
    BOOST_LEAF_AUTO(
        stop_time,
        reader.count("stop_time_ms", static_cast<std::uint32_t>(made.stop_time.count()), max_milliseconds));
    made.stop_time = milliseconds{stop_time};
    BOOST_LEAF_ASSIGN(made.caller_connections,
                      reader.count("caller_connections", made.caller_connections, max_caller_connections));
    BOOST_LEAF_ASSIGN(made.log_level, reader.log_level());
    return made;
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
