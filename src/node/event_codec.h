#pragma once

#include "base/error.h"
#include "node/types.h"

#include <string>
#include <string_view>

namespace hickorymount::node {

/// Encodes an event or effect as JSON text without line breaks. Any program can drive the reducer with
/// encoded events and read its encoded effects.
std::string encode(const node_event& event);
std::string encode(const node_effect& effect);

/// Decodes what `encode` returns. Errors: those of `codec::parse_json` and `codec::decode`, which name the
/// invalid member.
result<node_event> decode_event(std::string_view line);
result<node_effect> decode_effect(std::string_view line);

} // namespace hickorymount::node
