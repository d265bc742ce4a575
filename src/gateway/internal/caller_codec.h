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

/// True if the path belongs to the callers' interface.
bool is_caller_path(const std::string& path);

/// Decodes a caller's request. Errors: the request is invalid; the reason says what was expected.
result<routing::caller_request> decode_request(const http::request& request);

/// Encodes an outcome as an HTTP response. Status and body of a refusal differ from those of any answer.
http::response encode_outcome(const routing::caller_outcome& outcome);

/// Encodes the response to a request that could not be decoded and did not run.
http::response encode_bad_request(const failure& error, int status);

} // namespace hickorymount::gateway::detail
