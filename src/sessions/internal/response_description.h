#pragma once

#include "sessions/statement.h"

#include <cstdint>
#include <string>

namespace hickorymount::sessions::detail {

/// Digest of all fields of a response; never zero.
std::uint64_t digest_of(const statement_response& response);

/// Shape of a response for log records: outcome, rows and bytes, none of its content.
std::string describe(const statement_response& response);

} // namespace hickorymount::sessions::detail
