#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hickorymount::http {

/// A request as it came in. Header names are as the caller wrote them; look them up with `header`.
struct request
{
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body was larger than the server's limit, or shorter than its stated length; `body` is empty.
    bool is_body_too_large = false;
    bool is_body_short = false;
    /// Names the TCP connection within this process.
    std::uint64_t connection = 0;

    friend bool operator==(const request&, const request&) = default;
};

struct response
{
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
    /// Close the connection after this response.
    bool closes = false;
    /// Send only this many bytes of the body, then close. For emulating faults.
    std::size_t cut_after = SIZE_MAX;
    /// Close the connection without any response. For emulating faults.
    bool is_dropped = false;

    friend bool operator==(const response&, const response&) = default;
};

/// The value of a header, whatever its case, or an empty string.
std::string header(const std::map<std::string, std::string>& headers, const std::string& name);

/// The value of one cookie of the request, or an empty string.
std::string cookie(const request& from, const std::string& name);

} // namespace hickorymount::http
