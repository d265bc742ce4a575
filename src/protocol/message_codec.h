#pragma once

#include "base/error.h"
#include "protocol/types.h"

#include <string>
#include <string_view>

namespace hickorymount::protocol {

/// A message as CBOR.
std::string encode(const message& what);

/// Errors: larger or deeper than the limit, not CBOR, not a known message, a member that is missing,
/// unknown or of another type.
result<message> decode(std::string_view bytes, const std::string& peer);

} // namespace hickorymount::protocol
