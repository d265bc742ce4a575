#pragma once

#include "routing/types.h"

#include <cstdint>
#include <optional>

namespace hickorymount::routing::detail {

/// The creation time in a request key of the form `<Unix seconds>-<text>`; empty for any other form.
std::optional<unix_milliseconds> key_time(const request_key& key);

/// The FNV-1a hash of class and statement. The hash must stay equal on every host and in every release.
std::uint64_t statement_hash(const caller_request& input);

} // namespace hickorymount::routing::detail
