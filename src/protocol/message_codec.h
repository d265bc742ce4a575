#pragma once

#include "base/error.h"
#include "protocol/types.h"

#include <string>
#include <string_view>

namespace hickorymount::protocol {

/// Encodes a message as CBOR.
std::string encode(const message& value);

/// Name of the message's kind in its encoded form.
std::string_view kind_of(const message& value);

/// Decodes a message that `peer` sent. Errors: the input exceeds the size or nesting limit, is not CBOR, is
/// not a known message, or has a member that is missing, unknown or of the wrong type.
result<message> decode(std::string_view bytes, const std::string& peer);

} // namespace hickorymount::protocol
