#pragma once

#include "base/error.h"
#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickorymount::session_token {

/// Number of a term of a group's primary; each change of primary starts a higher term.
using group_term = std::uint64_t;
/// Number of records in a database group's log; it continues across terms.
using log_position = std::uint64_t;

/// A position in a group's log, together with the term in which it was reached.
struct group_position
{
    group_term term = 0;
    log_position position = 0;

    friend auto operator<=>(const group_position&, const group_position&) = default;
};

/// The log position at which a term began; all earlier records belong to earlier terms.
struct term_start
{
    group_term term = 0;
    log_position position = 0;

    friend bool operator==(const term_start&, const term_start&) = default;
};

/// True when the log that ends with the last term of `starts` still contains everything up to `seen`. A
/// position beyond the start of a later term was lost with its primary.
bool is_retained(const group_position& seen, const std::vector<term_start>& starts);

/// Session token: for each group, the position that the session's reads must have reached to include its
/// writes.
struct token
{
    std::map<group_name, group_position> positions;

    friend bool operator==(const token&, const token&) = default;
};

/// Maximum length of an encoded token.
inline constexpr std::size_t max_token_bytes = 4096;

/// Encodes the token as `group=term:position` items joined by '|', which is safe in a header and in a cookie.
std::string to_text(const token& value);

/// Decodes a token. Fails when the text is longer than `max_token_bytes` or not in the format of `to_text`.
result<token> parse_token(std::string_view text);

/// Returns `value` with the group's position set to `position`, unless the group's position is already
/// higher.
token with_raised_position(token value, const group_name& group, const group_position& position);

} // namespace hickorymount::session_token
