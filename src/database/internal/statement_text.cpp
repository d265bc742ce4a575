#include "database/internal/statement_text.h"

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
    const auto newest =
        std::find_if(pending.rbegin(), pending.rend(), [&](const change& each) { return each.key == key; });
    if (newest != pending.rend()) {
        return newest->value;
    }
    const std::string* stored = data.find(key);
    return stored == nullptr ? std::nullopt : std::optional(*stored);
}

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, number);
    return status == std::errc{} && rest == end ? std::optional(number) : std::nullopt;
}

statement_result failed(const std::string& reason)
{
    return {json{{"error", reason}}.dump(), {}};
}

statement_result changed(const std::string& key, std::string value)
{
    return {json{{"key", key}, {"value", value}}.dump(), {{key, std::move(value)}}};
}

} // namespace

statement_result run_text(const std::string& text, const shared_map<std::string, std::string>& data,
                          const std::vector<change>& pending)
{
    std::istringstream words(text);
    std::string verb;
    std::string key;
    std::string argument;
    words >> verb >> key;
    std::getline(words >> std::ws, argument);
    if (key.empty()) {
        return failed("expected: get KEY, put KEY VALUE, add KEY NUMBER or append KEY VALUE");
    }
    const std::optional<std::string> value = current_value(key, data, pending);
    if (verb == "get") {
        return {json{{"key", key}, {"value", value ? json(*value) : json()}}.dump(), {}};
    }
    if (verb == "put") {
        return changed(key, argument);
    }
    if (verb == "append") {
        return changed(key, value.value_or("") + argument);
    }
    if (verb == "add") {
        const auto by = parse_integer(argument);
        const auto before = parse_integer(value.value_or("0"));
        return by && before ? changed(key, std::to_string(*before + *by)) : failed("add takes whole numbers");
    }
    return failed("unknown statement '" + verb + "'");
}

} // namespace hickorymount::database::detail
