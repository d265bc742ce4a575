#include "configuration/questionnaire.h"

#include "base/names.h"
#include "codec/json_codec.h"
#include "configuration/descriptions.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <set>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace hickorymount::configuration {

namespace {

constexpr std::int64_t max_entry_hosts = 500;
constexpr std::int64_t max_instances = 9;
constexpr std::int64_t max_slots = 1'000;
constexpr std::int64_t max_connections = 10'000;
constexpr std::int64_t max_queue_limit = 100'000;
constexpr milliseconds max_connection_cost{60'000};
constexpr milliseconds max_deadline{600'000};
constexpr milliseconds max_read_age{24LL * 3'600'000};
constexpr milliseconds max_key_retention{30LL * 24 * 3'600'000};

struct duration_unit
{
    std::string_view suffix;
    std::int64_t milliseconds;
};

constexpr std::array<duration_unit, 4> duration_units{
    {{"ms", 1}, {"s", 1'000}, {"min", 60'000}, {"h", 3'600'000}}};

std::optional<milliseconds> parse_duration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (status != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const duration_unit& unit : duration_units) {
        if (unit.suffix == suffix && std::abs(count) <= max_key_retention.count()) {
            return milliseconds{count * unit.milliseconds};
        }
    }
    return std::nullopt;
}

/// Reads one questionnaire and collects all its problems.
class questionnaire_reader
{
public:
    explicit questionnaire_reader(std::string file) : m_file(std::move(file)) {}

    questionnaire_result read(const toml::table& document)
    {
        reject_unknown_keys(document, {"deployment", "service", "class"});
        read_deployment(document);
        read_services(document);
        read_classes(document);
        check_capacities(document);
        if (!m_problems.empty()) {
            return m_problems;
        }
        return m_configuration;
    }

private:
    void report_problem(const toml::node& node, std::string expected)
    {
        const toml::source_position position = node.source().begin;
        m_problems.push_back({m_file, position.line, position.column, std::move(expected)});
    }

    void reject_unknown_keys(const toml::table& table, std::initializer_list<std::string_view> known_keys)
    {
        for (const auto& [key, node] : table) {
            if (std::find(known_keys.begin(), known_keys.end(), key.str()) == known_keys.end()) {
                const toml::source_position position = key.source().begin;
                m_problems.push_back(
                    {m_file, position.line, position.column,
                     fmt::format("one of {}, not '{}'", fmt::join(known_keys, ", "), key.str())});
            }
        }
    }

    const toml::node* find_required(const toml::table& table, std::string_view key)
    {
        const toml::node* node = table.get(key);
        if (node == nullptr) {
            report_problem(table, fmt::format("'{}', which is missing", key));
        }
        return node;
    }

    std::string read_name(const toml::table& table, std::string_view key)
    {
        const toml::node* node = find_required(table, key);
        if (node == nullptr) {
            return {};
        }
        return parse_name(*node, key);
    }

    std::string parse_name(const toml::node& node, std::string_view key)
    {
        const auto text = node.value_exact<std::string>();
        const auto is_allowed = [](char character) {
            return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
                   character == '-';
        };
        if (!text || !is_name(*text) || !std::all_of(text->begin(), text->end(), is_allowed)) {
            report_problem(node, fmt::format("'{}' to be a name of a-z, 0-9 and '-'", key));
            return {};
        }
        return *text;
    }

    std::uint32_t read_count(const toml::table& table, std::string_view key, std::int64_t maximum)
    {
        const toml::node* node = find_required(table, key);
        if (node == nullptr) {
            return 0;
        }
        const auto count = node->value_exact<std::int64_t>();
        if (!count || *count < 1 || *count > maximum) {
            report_problem(*node, fmt::format("'{}' to be a whole number from 1 to {}", key, maximum));
            return 0;
        }
        return static_cast<std::uint32_t>(*count);
    }

    milliseconds read_duration(const toml::table& table, std::string_view key, milliseconds maximum)
    {
        const toml::node* node = find_required(table, key);
        return node == nullptr ? milliseconds{0} : parse_bounded_duration(*node, key, maximum);
    }

    milliseconds parse_bounded_duration(const toml::node& node, std::string_view key, milliseconds maximum)
    {
        const auto text = node.value_exact<std::string>();
        const auto duration = text ? parse_duration(*text) : std::nullopt;
        if (!duration) {
            report_problem(
                node,
                fmt::format("'{}' to be a duration such as \"250ms\", \"5s\", \"10min\" or \"24h\"", key));
            return milliseconds{0};
        }
        if (*duration < milliseconds{0} || *duration > maximum) {
            report_problem(node, fmt::format("'{}' to be from 0ms to {}ms", key, maximum.count()));
            return milliseconds{0};
        }
        return *duration;
    }

    template <class Value>
    Value read_choice(const toml::table& table, std::string_view key,
                      std::initializer_list<std::pair<std::string_view, Value>> choices,
                      std::optional<Value> default_value)
    {
        const toml::node* node = default_value ? table.get(key) : find_required(table, key);
        if (node == nullptr) {
            return default_value.value_or(choices.begin()->second);
        }
        const auto text = node->value_exact<std::string>();
        std::vector<std::string> names;
        for (const auto& [name, value] : choices) {
            if (text && *text == name) {
                return value;
            }
            names.push_back(fmt::format("\"{}\"", name));
        }
        report_problem(*node, fmt::format("'{}' to be {}", key, fmt::join(names, " or ")));
        return choices.begin()->second;
    }

    void read_deployment(const toml::table& document)
    {
        const toml::node* node = find_required(document, "deployment");
        if (node == nullptr) {
            return;
        }
        const toml::table* table = node->as_table();
        if (table == nullptr) {
            report_problem(*node, "[deployment] to be a table");
            return;
        }
        reject_unknown_keys(*table, {"name", "tenant", "availability_zones", "entry_hosts"});
        m_configuration.deployment = read_name(*table, "name");
        m_configuration.tenant = tenant_name{read_name(*table, "tenant")};
        m_configuration.entry_host_count = read_count(*table, "entry_hosts", max_entry_hosts);
        read_zones(*table);
    }

    void read_zones(const toml::table& table)
    {
        const toml::node* node = find_required(table, "availability_zones");
        if (node == nullptr) {
            return;
        }
        const toml::array* zones = node->as_array();
        if (zones == nullptr || zones->empty()) {
            report_problem(*node, "'availability_zones' to be a list of one name or more");
            return;
        }
        std::set<std::string> seen_names;
        for (const toml::node& zone : *zones) {
            const std::string name = parse_name(zone, "availability_zones");
            if (!name.empty() && !seen_names.insert(name).second) {
                report_problem(zone, fmt::format("each availability zone once; '{}' stands twice", name));
            }
            m_configuration.zones.push_back(availability_zone{name});
        }
    }

    template <class Read>
    void for_each_table(const toml::table& document, std::string_view key, Read read)
    {
        const toml::node* node = find_required(document, key);
        if (node == nullptr) {
            return;
        }
        const toml::array* tables = node->as_array();
        if (tables == nullptr || !tables->is_array_of_tables()) {
            report_problem(*node, fmt::format("[[{}]] to be a list of tables", key));
            return;
        }
        for (const toml::node& table : *tables) {
            read(*table.as_table());
        }
    }

    void read_services(const toml::table& document)
    {
        for_each_table(document, "service", [this](const toml::table& table) {
            reject_unknown_keys(table, {"name", "instances", "slots", "connections", "connection_cost"});
            const group_name name{read_name(table, "name")};
            const group_settings settings{
                .instances = read_count(table, "instances", max_instances),
                .slots = read_count(table, "slots", max_slots),
                .connections = read_count(table, "connections", max_connections),
                .connection_setup_time = read_duration(table, "connection_cost", max_connection_cost),
            };
            if (!m_configuration.groups.emplace(name, settings).second) {
                report_problem(table, fmt::format("each service once; '{}' stands twice", name.value));
            }
        });
    }

    void read_classes(const toml::table& document)
    {
        for_each_table(document, "class", [this](const toml::table& table) {
            reject_unknown_keys(table, {"name", "kind", "max_age", "acknowledged_by", "repeat",
                                        "key_retention", "deadline", "queue_limit"});
            const class_name name{read_name(table, "name")};
            if (!m_configuration.classes.emplace(name, read_class(table)).second) {
                report_problem(table, fmt::format("each class once; '{}' stands twice", name.value));
            }
        });
    }

    class_settings read_class(const toml::table& table)
    {
        class_settings settings;
        settings.kind = read_choice<statement_kind>(
            table, "kind", {{"read", statement_kind::read}, {"write", statement_kind::write}}, std::nullopt);
        settings.deadline = read_duration(table, "deadline", max_deadline);
        settings.queue_limit = read_count(table, "queue_limit", max_queue_limit);
        settings.acknowledged_by = read_choice<acknowledgement_level>(
            table, "acknowledged_by",
            {{"primary", acknowledgement_level::primary}, {"replica", acknowledgement_level::replica}},
            acknowledgement_level::primary);
        settings.repeatable =
            read_choice<bool>(table, "repeat", {{"allowed", true}, {"never", false}}, std::optional(true));
        if (const toml::node* node = table.get("max_age")) {
            settings.max_age = parse_bounded_duration(*node, "max_age", max_read_age);
        }
        if (const toml::node* node = table.get("key_retention")) {
            settings.key_retention = parse_bounded_duration(*node, "key_retention", max_key_retention);
        }
        check_class(table, settings);
        return settings;
    }

    void check_class(const toml::table& table, const class_settings& settings)
    {
        const auto reject = [&](std::string_view key, std::string expected) {
            const toml::node* node = table.get(key);
            report_problem(node == nullptr ? table : *node, std::move(expected));
        };
        if (settings.deadline == milliseconds{0} && table.contains("deadline")) {
            reject("deadline", "'deadline' to be longer than 0ms");
        }
        if (settings.kind == statement_kind::write && settings.max_age) {
            reject("max_age", "'max_age' only on a class of kind \"read\"");
        }
        if (settings.kind == statement_kind::read && table.contains("acknowledged_by")) {
            reject("acknowledged_by", "'acknowledged_by' only on a class of kind \"write\"");
        }
        if (settings.kind == statement_kind::read && !settings.repeatable) {
            reject("repeat", "repeat = \"never\" only on a class of kind \"write\"");
        }
        if (settings.repeatable && table.contains("key_retention")) {
            reject("key_retention", "'key_retention' only beside repeat = \"never\"");
        }
        if (!settings.repeatable && settings.key_retention < settings.deadline) {
            reject("key_retention",
                   "'key_retention' of at least the class's deadline beside repeat = \"never\"");
        }
    }

    void check_capacities(const toml::table& document)
    {
        const toml::array* services = document["service"].as_array();
        if (services == nullptr || !m_problems.empty()) {
            return;
        }
        for (const toml::node& service : *services) {
            const toml::table& table = *service.as_table();
            const group_settings& settings =
                m_configuration.groups.at(group_name{*table["name"].value<std::string>()});
            if (settings.connections < m_configuration.entry_host_count) {
                report_problem(*table.get("connections"),
                               fmt::format("'connections' of at least {}, one for each entry host",
                                           m_configuration.entry_host_count));
            }
            if (settings.slots > settings.connections) {
                report_problem(*table.get("slots"), "'slots' of no more than 'connections'");
            }
        }
    }

    std::string m_file;
    configuration m_configuration;
    std::vector<questionnaire_problem> m_problems;
};

} // namespace

std::string to_string(const questionnaire_problem& problem)
{
    return without_control_characters(
        fmt::format("{}:{}:{}: expected {}", problem.file, problem.line, problem.column, problem.expected));
}

questionnaire_result generate(std::string_view toml_text, const std::string& file)
{
    try {
        return questionnaire_reader(file).read(toml::parse(toml_text, file));
    } catch (const toml::parse_error& error) {
        const toml::source_position position = error.source().begin;
        return std::vector{
            questionnaire_problem{file, position.line, position.column,
                                  fmt::format("valid TOML: {}", std::string_view(error.description()))}};
    }
}

std::vector<std::string> differences(const configuration& before, const configuration& after)
{
    const codec::json old_values = codec::encode(before).flatten();
    const codec::json new_values = codec::encode(after).flatten();
    std::vector<std::string> lines;
    const auto text_of = [](const codec::json& value) { return value.dump(-1, ' ', true); };
    for (const auto& [path, value] : old_values.items()) {
        if (!new_values.contains(path)) {
            lines.push_back(fmt::format("{}: {} -> (none)", path, text_of(value)));
        } else if (new_values[path] != value) {
            lines.push_back(fmt::format("{}: {} -> {}", path, text_of(value), text_of(new_values[path])));
        }
    }
    for (const auto& [path, value] : new_values.items()) {
        if (!old_values.contains(path)) {
            lines.push_back(fmt::format("{}: (none) -> {}", path, text_of(value)));
        }
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace hickorymount::configuration
