#include "gateway/internal/caller_codec.h"

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hickorymount::gateway::detail {
namespace {

using nlohmann::json;

class caller_codec_fixture : public ::testing::Test
{
protected:
    static http::request valid_request()
    {
        http::request request;
        request.method = "POST";
        request.path = "/v1/groups/orders/statements";
        request.body = R"({"class":"order","statement":"add orders 1"})";
        request.headers = {{"hickorymount-session", "orders=2:17"},
                           {"Hickorymount-Request-Key", "1764000000-a"},
                           {"HICKORYMOUNT-TIMEOUT-MS", "1500"}};
        return request;
    }

    static std::string decode_error(const http::request& request)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(decode_request(request));
                return std::string();
            },
            [](const failure& error) { return to_string(error); });
    }

    static routing::caller_request decoded(const http::request& request)
    {
        return handle_failure([&] { return decode_request(request); },
                              [](const failure& error) {
                                  ADD_FAILURE() << to_string(error);
                                  return routing::caller_request{};
                              });
    }
};

TEST_F(caller_codec_fixture, valid_request_is_decoded_with_all_its_fields)
{
    const routing::caller_request result = decoded(valid_request());
    EXPECT_EQ(result.group, group_name{"orders"});
    EXPECT_EQ(result.request_class, class_name{"order"});
    EXPECT_EQ(result.statement, "add orders 1");
    EXPECT_EQ(result.key, request_key{"1764000000-a"});
    EXPECT_EQ(result.timeout, milliseconds{1500});
    EXPECT_EQ(result.token.positions.at(group_name{"orders"}), (session_token::group_position{2, 17}));
}

TEST_F(caller_codec_fixture, token_is_read_from_the_cookie_if_there_is_no_header)
{
    http::request request = valid_request();
    request.headers = {{"Cookie", "theme=dark; hickorymount-session=orders=2:17; x=y"}};
    EXPECT_EQ(decoded(request).token.positions.at(group_name{"orders"}).position, 17U);
}

TEST_F(caller_codec_fixture, timeout_of_zero_is_decoded_as_an_expired_deadline)
{
    http::request request = valid_request();
    request.headers["HICKORYMOUNT-TIMEOUT-MS"] = "0";
    EXPECT_LT(decoded(request).timeout, milliseconds{0});
}

TEST_F(caller_codec_fixture, transaction_paths_are_decoded)
{
    http::request request = valid_request();
    request.path = "/v1/groups/orders/transactions/entry-1.ab.4/commit";
    request.body = R"({"class":"order"})";
    EXPECT_EQ(decoded(request).operation, routing::operation_kind::commit);
    EXPECT_EQ(decoded(request).transaction, transaction_id{"entry-1.ab.4"});
}

struct invalid_request_case
{
    const char* name;
    void (*modify)(http::request&);
    const char* expected;
};

class invalid_request_fixture : public caller_codec_fixture,
                                public ::testing::WithParamInterface<invalid_request_case>
{
};

TEST_P(invalid_request_fixture, invalid_request_is_rejected_and_the_error_names_the_expected_value)
{
    http::request request = valid_request();
    GetParam().modify(request);
    const std::string error = decode_error(request);
    EXPECT_NE(error.find(GetParam().expected), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    rows, invalid_request_fixture,
    ::testing::Values(
        invalid_request_case{"truncated_body", [](http::request& request) { request.body.resize(20); },
                             "parse_json"},
        invalid_request_case{"short_body", [](http::request& request) { request.is_body_truncated = true; },
                             "shorter than"},
        invalid_request_case{"empty_body", [](http::request& request) { request.body.clear(); },
                             "parse_json"},
        invalid_request_case{
            "nested_body",
            [](http::request& request) { request.body = std::string(1000, '[') + std::string(1000, ']'); },
            "nested deeper"},
        invalid_request_case{"oversized_body",
                             [](http::request& request) { request.body.assign(2 << 20, 'x'); },
                             "larger than"},
        invalid_request_case{
            "not_utf8",
            [](http::request& request) { request.body = "{\"class\":\"order\",\"statement\":\"\xff\xfe\"}"; },
            "parse_json"},
        invalid_request_case{"body_is_a_list", [](http::request& request) { request.body = "[]"; },
                             "a JSON object"},
        invalid_request_case{"class_is_a_number",
                             [](http::request& request) { request.body = R"({"class":1,"statement":"x"})"; },
                             "class: expected a string"},
        invalid_request_case{"statement_is_a_list",
                             [](http::request& request) { request.body = R"({"class":"a","statement":[]})"; },
                             "statement: expected a string"},
        invalid_request_case{"no_class",
                             [](http::request& request) { request.body = R"({"statement":"x"})"; },
                             "class: expected"},
        invalid_request_case{"no_statement",
                             [](http::request& request) { request.body = R"({"class":"x"})"; },
                             "statement: expected"},
        invalid_request_case{
            "unknown_member",
            [](http::request& request) { request.body = R"({"class":"x","statement":"y","retry":true})"; },
            "unknown member 'retry'"},
        invalid_request_case{
            "token_without_term",
            [](http::request& request) { request.headers["hickorymount-session"] = "orders=17"; },
            "session token"},
        invalid_request_case{
            "token_too_large",
            [](http::request& request) { request.headers["hickorymount-session"] = std::string(5000, 'a'); },
            "larger than"},
        invalid_request_case{
            "timeout_is_text",
            [](http::request& request) { request.headers["HICKORYMOUNT-TIMEOUT-MS"] = "soon"; },
            "milliseconds"},
        invalid_request_case{
            "timeout_too_long",
            [](http::request& request) { request.headers["HICKORYMOUNT-TIMEOUT-MS"] = "99999999"; },
            "milliseconds"},
        invalid_request_case{"key_too_long",
                             [](http::request& request) {
                                 request.headers["Hickorymount-Request-Key"] = std::string(200, 'k');
                             },
                             "longer than"},
        invalid_request_case{
            "key_that_is_no_utf8",
            [](http::request& request) { request.headers["Hickorymount-Request-Key"] = "1764000000-\xff"; },
            "a text without control characters"},
        invalid_request_case{
            "key_with_control_character",
            [](http::request& request) { request.headers["Hickorymount-Request-Key"] = "1764000000-a\tb"; },
            "a text without control characters"},
        invalid_request_case{
            "group_with_line_break",
            [](http::request& request) { request.path = "/v1/groups/or\r\nders/statements"; }, "no such"},
        invalid_request_case{"group_that_is_no_utf8",
                             [](http::request& request) { request.path = "/v1/groups/or\xff/statements"; },
                             "no such"},
        invalid_request_case{"transaction_with_line_break",
                             [](http::request& request) {
                                 request.path = "/v1/groups/orders/transactions/entry-1.ab.4\n/commit";
                             },
                             "no such"},
        invalid_request_case{"unknown_path",
                             [](http::request& request) { request.path = "/v1/groups/orders/rows"; },
                             "no such"},
        invalid_request_case{"no_group", [](http::request& request) { request.path = "/v1/groups/"; },
                             "no such"},
        invalid_request_case{"wrong_method", [](http::request& request) { request.method = "GET"; },
                             "expected POST"}),
    [](const auto& info) { return info.param.name; });

class outcome_fixture : public ::testing::Test
{
};

TEST_F(outcome_fixture, each_outcome_has_its_own_status_and_names_step_and_peer)
{
    routing::caller_response answer;
    answer.body = R"({"value":"1"})";
    answer.token = session_token::with_raised_position({}, group_name{"orders"}, {2, 17});
    const http::response response = encode_outcome(answer);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(json::parse(response.body)["result"]["value"], "1");
    EXPECT_EQ(response.headers.at(session_header), "orders=2:17");

    const http::response refused = encode_outcome(
        routing::not_run{routing::refusal_reason::deadline_passed, "queue", "orders-1", "late", {}});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(json::parse(refused.body)["outcome"], "not_run");
    EXPECT_EQ(json::parse(refused.body)["step"], "queue");
    EXPECT_EQ(json::parse(refused.body)["peer"], "orders-1");

    const http::response unknown = encode_outcome(routing::outcome_unknown{"write", "orders-1", "lost"});
    EXPECT_EQ(unknown.status, 504);
    EXPECT_EQ(json::parse(unknown.body)["outcome"], "outcome_unknown");
    EXPECT_EQ(json::parse(unknown.body)["peer"], "orders-1");
}

TEST_F(outcome_fixture, refusal_without_a_granted_connection_tells_when_to_come_back)
{
    const http::response refused = encode_outcome(
        routing::not_run{routing::refusal_reason::no_connection_granted, "queue", "", "none", {}});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(json::parse(refused.body)["reason"], "no_connection_granted");
    EXPECT_EQ(refused.headers.at("Retry-After"), "1");
}

TEST_F(outcome_fixture, answer_body_that_is_not_json_is_encoded_as_a_string)
{
    routing::caller_response answer;
    answer.body = "not \"json\"";
    EXPECT_EQ(json::parse(encode_outcome(answer).body)["result"], "not \"json\"");
}

} // namespace
} // namespace hickorymount::gateway::detail
