#pragma once

#include <map>
#include <string>
#include <string_view>

namespace hickorymount::http::detail {

/// True for a header that stands in one line: a name of letters, digits and some signs, and a value without
/// control characters.
bool is_header(std::string_view name, std::string_view value);

bool are_headers(const std::map<std::string, std::string>& headers);

/// Why the head of a request with these parts could be read as another one; empty if it can't.
std::string request_head_error(std::string_view method, std::string_view path,
                               const std::map<std::string, std::string>& headers);

/// True for the digits of a length that 63 bits hold.
bool is_content_length(std::string_view value);

} // namespace hickorymount::http::detail
