#pragma once

#include <string>
#include <string_view>

namespace hickorymount {

/// What messages write in the place of a name that is missing.
inline constexpr std::string_view no_name = "-";

/// What `is_name` accepts, for errors.
inline constexpr const char* name_rule = "a name without blanks and control characters, other than '-'";

/// What `is_line_text` accepts, for errors.
inline constexpr const char* line_text_rule = "a text without control characters";

/// True for valid UTF-8 without control characters, so that the text can't end the line in which it stands.
bool is_line_text(std::string_view text);

/// True for a text that can be one field of a line among others: not empty, without blanks and control
/// characters, and not `no_name`.
bool is_name(std::string_view text);

/// The text for a line that people or programs read: control characters and bytes that are not UTF-8 are
/// written as escape sequences. Quotes and backslashes stay, so that an escaped text is not escaped again.
std::string without_control_characters(std::string_view text);

/// As `without_control_characters`, for a text between quotes: quotes and backslashes are escaped as well.
std::string escaped(std::string_view text);

} // namespace hickorymount
