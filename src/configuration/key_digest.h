#pragma once

#include "base/identifier.h"

#include <string_view>

namespace hickorymount::configuration {

/// Returns the digest under which a customer's key is stored and looked up outside the operator's document.
/// It is a 128-bit BLAKE2b hash. Keys are long random texts, so a digest does not reveal its key, and the
/// time that a look-up takes depends on digests only.
key_digest digest_of_key(std::string_view key);

} // namespace hickorymount::configuration
