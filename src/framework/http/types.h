#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hickorymount::http {

/// A received request. Header names keep the caller's spelling; look them up with `header`.
struct request
{
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body was larger than the server's limit, or shorter than its Content-Length; `body` is then empty.
    bool is_body_too_large = false;
    bool is_body_truncated = false;
    /// Identifies the TCP connection within this process.
    std::uint64_t connection_number = 0;

    friend bool operator==(const request&, const request&) = default;
};

struct response
{
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
    /// Close the connection after this response.
    bool closes_connection = false;
    /// Send only this many bytes of the body, then close the connection. For fault injection.
    std::size_t max_sent_body_bytes = SIZE_MAX;
    /// Close the connection without a response. For fault injection.
    bool drops_connection = false;

    friend bool operator==(const response&, const response&) = default;
};

/// Returns the value of a header, whose name is compared without case, or an empty string.
std::string header(const std::map<std::string, std::string>& headers, const std::string& name);

/// Returns the value of a cookie of the request, or an empty string.
std::string cookie(const request& source, const std::string& name);

} // namespace hickorymount::http
