#include "session_token/types.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace hickorymount::session_token {

namespace {

bool parse_number(std::string_view text, std::uint64_t& number)
{
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && rest == text.data() + text.size();
}

bool parse_item(std::string_view item, token& parsed)
{
    const std::size_t equals = item.find('=');
    const std::size_t colon = item.find(':', equals == std::string_view::npos ? 0 : equals);
    if (equals == std::string_view::npos || colon == std::string_view::npos || equals == 0) {
        return false;
    }
    group_position position;
    if (!parse_number(item.substr(equals + 1, colon - equals - 1), position.term) ||
        !parse_number(item.substr(colon + 1), position.position)) {
        return false;
    }
    parsed.positions[group_name{std::string(item.substr(0, equals))}] = position;
    return true;
}

} // namespace

bool is_retained(const group_position& seen, const std::vector<term_start>& starts)
{
    const auto next = std::find_if(starts.begin(), starts.end(),
                                   [&](const term_start& start) { return start.term > seen.term; });
    return std::all_of(next, starts.end(),
                       [&](const term_start& start) { return seen.position <= start.position; });
}

std::string to_text(const token& value)
{
    std::string text;
    for (const auto& [group, position] : value.positions) {
        text +=
            fmt::format("{}{}={}:{}", text.empty() ? "" : "|", group.value, position.term, position.position);
    }
    return text;
}

result<token> parse_token(std::string_view text)
{
    if (text.size() > max_token_bytes) {
        return fail("parse_token", "caller", "session token larger than the limit");
    }
    token value;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('|'), text.size());
        if (!parse_item(text.substr(0, end), value)) {
            return fail("parse_token", "caller", "session token is not of the form group=term:position|…");
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return value;
}

token with_raised_position(token value, const group_name& group, const group_position& position)
{
    group_position& known = value.positions[group];
    known = std::max(known, position);
    return value;
}

} // namespace hickorymount::session_token
