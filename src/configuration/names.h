#pragma once

#include "configuration/types.h"

#include <string>

namespace hickorymount::configuration {

/// Validates the names that stand in messages between hosts, servers and callers, see `is_name`. Returns the
/// first error as one line with its place and the name, or an empty string.
std::string first_name_error(const configuration& candidate);

} // namespace hickorymount::configuration
