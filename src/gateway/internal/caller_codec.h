#pragma once

#include "base/error.h"
#include "http/types.h"
#include "routing/types.h"

#include <string>

namespace hickorymount::gateway::detail {

inline constexpr const char* session_header = "Hickorymount-Session";
inline constexpr const char* session_cookie = "hickorymount-session";
inline constexpr const char* key_header = "Hickorymount-Request-Key";
inline constexpr const char* timeout_header = "Hickorymount-Timeout-Ms";
inline constexpr const char* request_header = "Hickorymount-Request";

/// True for the paths under which callers send statements.
bool is_caller_path(const std::string& path);

/// Decodes a caller's request. Errors say what was expected.
result<routing::caller_request> decode_request(const http::request& from);

/// The HTTP form of an outcome. A refusal's status and body never read as an answer.
http::response encode_outcome(const routing::caller_outcome& outcome);

/// A request that could not be decoded; it did not run.
http::response encode_bad_request(const failure& what, int status);

} // namespace hickorymount::gateway::detail
