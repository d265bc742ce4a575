#include "gateway/internal/caller_codec.h"

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
using routing::operation;
using routing::refusal;

constexpr const char* groups_prefix = "/v1/groups/";
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_bytes = 128;

std::vector<std::string> segments_after_prefix(const std::string& path)
{
    std::vector<std::string> parts;
    std::string_view rest = std::string_view(path).substr(std::string_view(groups_prefix).size());
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('/'), rest.size());
        parts.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return parts;
}

leaf::error_id bad(std::string reason)
{
    return fail("decode_request", "caller", std::move(reason));
}

result<void> decode_path(const http::request& from, routing::caller_request& into)
{
    const std::vector<std::string> parts = segments_after_prefix(from.path);
    if (parts.size() >= 2) {
        into.group = group_name{parts[0]};
    }
    if (parts.size() == 2 && parts[1] == "statements") {
        into.what = operation::run;
        return {};
    }
    if (parts.size() == 2 && parts[1] == "transactions") {
        into.what = operation::begin;
        return {};
    }
    if (parts.size() == 4 && parts[1] == "transactions") {
        into.transaction = transaction_id{parts[2]};
        static constexpr std::array<std::pair<std::string_view, operation>, 3> endings{
            {{"statements", operation::run},
             {"commit", operation::commit},
             {"rollback", operation::rollback}}};
        for (const auto& [name, what] : endings) {
            if (parts[3] == name) {
                into.what = what;
                return {};
            }
        }
    }
    return bad("no such resource");
}

result<void> decode_body(const http::request& from, routing::caller_request& into)
{
    BOOST_LEAF_AUTO(document, codec::parse_json(from.body, codec::caller_input_limits, "caller"));
    if (!document.is_object()) {
        return bad("expected a JSON object");
    }
    for (const auto& [name, value] : document.items()) {
        const bool is_known = name == "class" || name == "statement";
        if (!is_known) {
            return bad("unknown member '" + name + "'; expected class and statement");
        }
        if (!value.is_string()) {
            return bad(name + ": expected a string");
        }
    }
    if (!document.contains("class")) {
        return bad("class: expected a value, found none");
    }
    if (into.what == operation::run && !document.contains("statement")) {
        return bad("statement: expected a value, found none");
    }
    into.class_of_request = class_name{document["class"].get<std::string>()};
    into.statement = document.value("statement", "");
    return {};
}

result<void> decode_timeout(const http::request& from, routing::caller_request& into)
{
    const std::string text = http::header(from.headers, timeout_header);
    if (text.empty()) {
        return {};
    }
    std::int64_t count = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, count);
    if (status != std::errc{} || rest != end || count > max_timeout_ms) {
        return bad(
            fmt::format("{}: expected whole milliseconds, {} at most", timeout_header, max_timeout_ms));
    }
    // Zero means no limit of the caller's own inside; on the wire it is a deadline that has passed.
    into.timeout = milliseconds{count > 0 ? count : -1};
    return {};
}

int status_of(refusal reason)
{
    switch (reason) {
    case refusal::unknown_group:
        return 404;
    case refusal::unknown_class:
    case refusal::class_not_allowed:
    case refusal::key_missing:
    case refusal::key_malformed:
    case refusal::key_not_allowed:
        return 400;
    case refusal::session_position_lost:
    case refusal::transaction_elsewhere:
    case refusal::transaction_ended:
    case refusal::transaction_busy:
        return 409;
    case refusal::key_too_old:
        return 410;
    case refusal::key_reused:
        return 422;
    case refusal::queue_full:
        return 429;
    default:
        return 503;
    }
}

void set_token(http::response& into, const session::token& token)
{
    const std::string text = session::to_text(token);
    if (text.empty()) {
        return;
    }
    into.headers[session_header] = text;
    into.headers["Set-Cookie"] = fmt::format("{}={}; Path=/; HttpOnly", session_cookie, text);
}

http::response encode(const routing::whole_answer& answer)
{
    const bool is_json = json::accept(answer.body);
    http::response made;
    made.body = fmt::format(R"({{"outcome":"answered","served_by":{},"role":"{}","repeated":{},)",
                            json(answer.served_by.value).dump(),
                            answer.role == protocol::server_role::primary ? "primary" : "replica",
                            answer.is_repeated);
    if (answer.transaction) {
        made.body += fmt::format(R"("transaction":{},)", json(answer.transaction->value).dump());
    }
    made.body += fmt::format(R"("result":{}}})", is_json ? answer.body : json(answer.body).dump());
    set_token(made, answer.token);
    return made;
}

http::response encode(const routing::not_run& refused)
{
    http::response made;
    made.status = status_of(refused.reason);
    made.body = json{{"outcome", "not_run"},
                     {"reason", std::string(routing::to_string(refused.reason))},
                     {"step", refused.step},
                     {"peer", refused.peer},
                     {"detail", refused.detail}}
                    .dump();
    if (made.status == 503 || made.status == 429) {
        made.headers["Retry-After"] = "1";
    }
    if (refused.token) {
        set_token(made, *refused.token);
    }
    return made;
}

http::response encode(const routing::outcome_unknown& unknown)
{
    http::response made;
    made.status = 504;
    made.body = json{{"outcome", "outcome_unknown"},
                     {"step", unknown.step},
                     {"peer", unknown.peer},
                     {"detail", unknown.detail}}
                    .dump();
    return made;
}

} // namespace

bool is_caller_path(const std::string& path)
{
    return path.rfind(groups_prefix, 0) == 0;
}

result<routing::caller_request> decode_request(const http::request& from)
{
    routing::caller_request made;
    if (from.method != "POST") {
        return bad("expected POST");
    }
    if (from.is_body_short) {
        return bad("the body is shorter than its Content-Length");
    }
    BOOST_LEAF_CHECK(decode_path(from, made));
    BOOST_LEAF_CHECK(decode_body(from, made));
    BOOST_LEAF_CHECK(decode_timeout(from, made));
    std::string token = http::header(from.headers, session_header);
    token = token.empty() ? http::cookie(from, session_cookie) : token;
    BOOST_LEAF_ASSIGN(made.token, session::parse_token(token));
    const std::string key = http::header(from.headers, key_header);
    if (key.size() > max_key_bytes) {
        return bad(fmt::format("{}: longer than {} bytes", key_header, max_key_bytes));
    }
    if (!key.empty()) {
        made.key = request_key{key};
    }
    return made;
}

http::response encode_outcome(const routing::caller_outcome& outcome)
{
    return std::visit([](const auto& each) { return encode(each); }, outcome);
}

http::response encode_bad_request(const failure& what, int status)
{
    http::response made;
    made.status = status;
    made.body = json{{"outcome", "not_run"},
                     {"reason", "bad_request"},
                     {"step", what.step},
                     {"peer", what.peer},
                     {"detail", what.reason}}
                    .dump(-1, ' ', false, json::error_handler_t::replace);
    return made;
}

} // namespace hickorymount::gateway::detail
