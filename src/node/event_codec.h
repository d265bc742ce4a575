#pragma once

#include "base/error.h"
#include "node/types.h"

#include <string>
#include <string_view>

namespace hickorymount::node {

/// An event or effect as one line of JSON, apart from the decisions, so that any program can drive the
/// reducer and read what it decides.
std::string encode(const node_event& what);
std::string encode(const node_effect& what);

/// Errors: as of the codec, with the member that is wrong.
result<node_event> decode_event(std::string_view line);
result<node_effect> decode_effect(std::string_view line);

} // namespace hickorymount::node
