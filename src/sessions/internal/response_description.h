#pragma once

#include "sessions/statement.h"

#include <string>

namespace hickorymount::sessions::detail {

/// Shape of a response for log records: outcome, rows and bytes, none of its content.
std::string describe(const statement_response& response);

} // namespace hickorymount::sessions::detail
