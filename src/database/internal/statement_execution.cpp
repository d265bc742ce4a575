#include "database/internal/statement_execution.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

namespace hickorymount::database::detail {

namespace {

using nlohmann::json;

std::optional<std::string> current_value(const std::string& key,
                                         const shared_map<std::string, std::string>& data,
                                         const std::vector<change>& pending)
{
    const auto newest = std::find_if(pending.rbegin(), pending.rend(),
                                     [&](const change& candidate) { return candidate.key == key; });
    if (newest != pending.rend()) {
        return newest->value;
    }
    const std::string* stored = data.find(key);
    return stored == nullptr ? std::nullopt : std::optional(*stored);
}

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t parsed = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, parsed);
    return status == std::errc{} && rest == end ? std::optional(parsed) : std::nullopt;
}

statement_result error_result(const std::string& reason)
{
    return {json{{"error", reason}}.dump(), {}};
}

statement_result change_result(const std::string& key, std::string value)
{
    return {json{{"key", key}, {"value", value}}.dump(), {{key, std::move(value)}}};
}

} // namespace

statement_result execute_statement(const std::string& text, const shared_map<std::string, std::string>& data,
                                   const std::vector<change>& pending)
{
    std::istringstream words(text);
    std::string verb;
    std::string key;
    std::string argument;
    words >> verb >> key;
    std::getline(words >> std::ws, argument);
    if (key.empty()) {
        return error_result("expected: get KEY, put KEY VALUE, add KEY NUMBER or append KEY VALUE");
    }
    const std::optional<std::string> value = current_value(key, data, pending);
    if (verb == "get") {
        return {json{{"key", key}, {"value", value ? json(*value) : json()}}.dump(), {}};
    }
    if (verb == "put") {
        return change_result(key, argument);
    }
    if (verb == "append") {
        return change_result(key, value.value_or("") + argument);
    }
    if (verb == "add") {
        const auto addend = parse_integer(argument);
        const auto number = parse_integer(value.value_or("0"));
        return addend && number ? change_result(key, std::to_string(*number + *addend))
                                : error_result("add takes whole numbers");
    }
    return error_result("unknown statement '" + verb + "'");
}

} // namespace hickorymount::database::detail
