#pragma once

#include <string>
#include <string_view>

namespace hickorymount::logging {

/// A text in quotes, with quotes, backslashes and control characters escaped.
std::string quoted(std::string_view text);

/// The value of a `key=value` field: a text that can't be taken for more than one value as it is, any other
/// one in quotes. An empty text stays empty.
std::string value(std::string_view text);

} // namespace hickorymount::logging
