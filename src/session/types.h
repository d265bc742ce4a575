#pragma once

#include "base/error.h"
#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickorymount::session {

/// Numbers the primaries of one group; each change of primary takes a higher one.
using group_term = std::uint64_t;
/// Number of log records a database holds; it goes on counting across terms.
using log_position = std::uint64_t;

/// A point in a group's history.
struct group_position
{
    group_term term = 0;
    log_position position = 0;

    friend auto operator<=>(const group_position&, const group_position&) = default;
};

/// Where a term's history began: everything before it belongs to earlier terms.
struct term_start
{
    group_term term = 0;
    log_position position = 0;

    friend bool operator==(const term_start&, const term_start&) = default;
};

/// True when the history that leads to the last of `starts` holds everything up to `seen`.
/// A position beyond the start of the next term was lost with its primary.
bool is_retained(const group_position& seen, const std::vector<term_start>& starts);

/// For each group, the newest of its own writes that a session has to see again.
struct token
{
    std::map<group_name, group_position> seen;

    friend bool operator==(const token&, const token&) = default;
};

inline constexpr std::size_t max_token_bytes = 4096;

/// `group=term:position` items joined by '|'; safe in a header and in a cookie.
std::string to_text(const token& value);

/// Errors: larger than max_token_bytes, or not of the form that `to_text` gives.
result<token> parse_token(std::string_view text);

/// `value` with the group's position raised to `position`.
token raised(token value, const group_name& group, const group_position& position);

} // namespace hickorymount::session
