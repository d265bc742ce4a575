#pragma once

#include "routing/types.h"

#include <cstdint>
#include <optional>

namespace hickorymount::routing::detail {

/// The time that a request key begins with: `<Unix seconds>-<text>`. Nothing for a key of another form.
std::optional<unix_milliseconds> key_time(const request_key& key);

/// The same number for the same class and statement on every host and in every release (FNV-1a).
std::uint64_t statement_hash(const caller_request& input);

} // namespace hickorymount::routing::detail
