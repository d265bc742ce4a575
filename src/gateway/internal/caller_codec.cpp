#include "gateway/internal/caller_codec.h"

#include "base/names.h"
#include "codec/json_codec.h"
#include "protocol/descriptions.h"
#include "routing/reduce.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace hickorymount::gateway::detail {

namespace {

using codec::json;
using routing::operation_kind;
using routing::refusal_reason;

constexpr const char* groups_prefix = "/v1/groups/";
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_bytes = 128;

std::vector<std::string> segments_after_prefix(const std::string& path)
{
    std::vector<std::string> segments;
    std::string_view rest = std::string_view(path).substr(std::string_view(groups_prefix).size());
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('/'), rest.size());
        segments.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return segments;
}

leaf::error_id invalid_request(std::string reason)
{
    return fail("decode_request", "caller", std::move(reason));
}

result<void> decode_path(const http::request& request, routing::caller_request& decoded)
{
    if (!is_line_text(request.path)) {
        return invalid_request("no such resource");
    }
    const std::vector<std::string> segments = segments_after_prefix(request.path);
    if (segments.size() >= 2) {
        decoded.group = group_name{segments[0]};
    }
    if (segments.size() == 2 && segments[1] == "statements") {
        decoded.operation = operation_kind::run;
        return {};
    }
    if (segments.size() == 2 && segments[1] == "transactions") {
        decoded.operation = operation_kind::begin;
        return {};
    }
    if (segments.size() == 4 && segments[1] == "transactions") {
        decoded.transaction = transaction_id{segments[2]};
        static constexpr std::array<std::pair<std::string_view, operation_kind>, 3> actions{
            {{"statements", operation_kind::run},
             {"commit", operation_kind::commit},
             {"rollback", operation_kind::rollback}}};
        for (const auto& [name, action] : actions) {
            if (segments[3] == name) {
                decoded.operation = action;
                return {};
            }
        }
    }
    return invalid_request("no such resource");
}

result<void> decode_body(const http::request& request, routing::caller_request& decoded)
{
    BOOST_LEAF_AUTO(document, codec::parse_json(request.body, codec::caller_input_limits, "caller"));
    if (!document.is_object()) {
        return invalid_request("expected a JSON object");
    }
    for (const auto& [name, value] : document.items()) {
        const bool is_known = name == "class" || name == "statement";
        if (!is_known) {
            return invalid_request("unknown member '" + name + "'; expected class and statement");
        }
        if (!value.is_string()) {
            return invalid_request(name + ": expected a string");
        }
    }
    if (!document.contains("class")) {
        return invalid_request("class: expected a value, found none");
    }
    if (decoded.operation == operation_kind::run && !document.contains("statement")) {
        return invalid_request("statement: expected a value, found none");
    }
    decoded.request_class = class_name{document["class"].get<std::string>()};
    decoded.statement = document.value("statement", "");
    return {};
}

result<void> decode_timeout(const http::request& request, routing::caller_request& decoded)
{
    const std::string text = http::header(request.headers, timeout_header);
    if (text.empty()) {
        return {};
    }
    std::int64_t timeout_ms = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, timeout_ms);
    if (status != std::errc{} || rest != end || timeout_ms > max_timeout_ms) {
        return invalid_request(
            fmt::format("{}: expected whole milliseconds, {} at most", timeout_header, max_timeout_ms));
    }
    // Zero on the wire is a deadline that has passed; zero in `caller_request` means the timeout of the
    // class.
    decoded.timeout = milliseconds{timeout_ms > 0 ? timeout_ms : -1};
    return {};
}

int status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::unknown_group:
        return 404;
    case refusal_reason::unknown_class:
    case refusal_reason::class_not_allowed:
    case refusal_reason::key_missing:
    case refusal_reason::key_malformed:
    case refusal_reason::key_not_allowed:
        return 400;
    case refusal_reason::session_position_lost:
    case refusal_reason::transaction_elsewhere:
    case refusal_reason::transaction_ended:
    case refusal_reason::transaction_busy:
        return 409;
    case refusal_reason::key_too_old:
        return 410;
    case refusal_reason::key_reused:
        return 422;
    case refusal_reason::queue_full:
        return 429;
    default:
        return 503;
    }
}

void set_token(http::response& response, const session_token::token& token)
{
    const std::string text = session_token::to_text(token);
    if (text.empty()) {
        return;
    }
    response.headers[session_header] = text;
    response.headers["Set-Cookie"] = fmt::format("{}={}; Path=/; HttpOnly", session_cookie, text);
}

http::response encode(const routing::caller_response& answer)
{
    const bool is_json = json::accept(answer.body);
    http::response response;
    response.body = fmt::format(R"({{"outcome":"answered","served_by":{},"role":"{}","repeated":{},)",
                                codec::to_text(answer.served_by.value),
                                answer.role == protocol::server_role::primary ? "primary" : "replica",
                                answer.is_repeated);
    if (answer.transaction) {
        response.body += fmt::format(R"("transaction":{},)", codec::to_text(answer.transaction->value));
    }
    response.body += fmt::format(R"("result":{}}})", is_json ? answer.body : codec::to_text(answer.body));
    set_token(response, answer.token);
    return response;
}

http::response encode(const routing::not_run& refused)
{
    http::response response;
    response.status = status_of(refused.reason);
    response.body = codec::to_text({{"outcome", "not_run"},
                                    {"reason", std::string(routing::to_string(refused.reason))},
                                    {"step", refused.step},
                                    {"peer", refused.peer},
                                    {"detail", refused.detail}});
    if (response.status == 503 || response.status == 429) {
        response.headers["Retry-After"] = "1";
    }
    if (refused.token) {
        set_token(response, *refused.token);
    }
    return response;
}

http::response encode(const routing::outcome_unknown& unknown)
{
    http::response response;
    response.status = 504;
    response.body = codec::to_text({{"outcome", "outcome_unknown"},
                                    {"step", unknown.step},
                                    {"peer", unknown.peer},
                                    {"detail", unknown.detail}});
    return response;
}

} // namespace

bool is_caller_path(const std::string& path)
{
    return path.rfind(groups_prefix, 0) == 0;
}

result<routing::caller_request> decode_request(const http::request& request)
{
    routing::caller_request decoded;
    if (request.method != "POST") {
        return invalid_request("expected POST");
    }
    if (request.is_body_truncated) {
        return invalid_request("the body is shorter than its Content-Length");
    }
    BOOST_LEAF_CHECK(decode_path(request, decoded));
    BOOST_LEAF_CHECK(decode_body(request, decoded));
    BOOST_LEAF_CHECK(decode_timeout(request, decoded));
    std::string token = http::header(request.headers, session_header);
    token = token.empty() ? http::cookie(request, session_cookie) : token;
    BOOST_LEAF_ASSIGN(decoded.token, session_token::parse_token(token));
    const std::string key = http::header(request.headers, key_header);
    if (key.size() > max_key_bytes) {
        return invalid_request(fmt::format("{}: longer than {} bytes", key_header, max_key_bytes));
    }
    // The key stands in messages between hosts, which are UTF-8, and in log lines.
    if (!is_line_text(key)) {
        return invalid_request(fmt::format("{}: expected {}", key_header, line_text_rule));
    }
    if (!key.empty()) {
        decoded.key = request_key{key};
    }
    return decoded;
}

http::response encode_outcome(const routing::caller_outcome& outcome)
{
    return std::visit([](const auto& value) { return encode(value); }, outcome);
}

http::response encode_bad_request(const failure& error, int status)
{
    http::response reply;
    reply.status = status;
    reply.body = codec::to_text({{"outcome", "not_run"},
                                 {"reason", "bad_request"},
                                 {"step", error.step},
                                 {"peer", error.peer},
                                 {"detail", error.reason}});
    return reply;
}

} // namespace hickorymount::gateway::detail
