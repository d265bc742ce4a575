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
    static http::request good()
    {
        http::request made;
        made.method = "POST";
        made.path = "/v1/groups/orders/statements";
        made.body = R"({"class":"order","statement":"add orders 1"})";
        made.headers = {{"hickorymount-session", "orders=2:17"},
                        {"Hickorymount-Request-Key", "1764000000-a"},
                        {"HICKORYMOUNT-TIMEOUT-MS", "1500"}};
        return made;
    }

    static std::string problem_of(const http::request& from)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(decode_request(from));
                return std::string();
            },
            [](const failure& what) { return to_string(what); });
    }

    static routing::caller_request decoded(const http::request& from)
    {
        return handle_failure([&] { return decode_request(from); },
                              [](const failure& what) {
                                  ADD_FAILURE() << to_string(what);
                                  return routing::caller_request{};
                              });
    }
};

TEST_F(caller_codec_fixture, good_request_is_decoded_whole)
{
    const routing::caller_request made = decoded(good());
    EXPECT_EQ(made.group, group_name{"orders"});
    EXPECT_EQ(made.class_of_request, class_name{"order"});
    EXPECT_EQ(made.statement, "add orders 1");
    EXPECT_EQ(made.key, request_key{"1764000000-a"});
    EXPECT_EQ(made.timeout, milliseconds{1500});
    EXPECT_EQ(made.token.seen.at(group_name{"orders"}), (session::group_position{2, 17}));
}

TEST_F(caller_codec_fixture, token_is_taken_from_the_cookie_without_a_header)
{
    http::request from = good();
    from.headers = {{"Cookie", "theme=dark; hickorymount-session=orders=2:17; x=y"}};
    EXPECT_EQ(decoded(from).token.seen.at(group_name{"orders"}).position, 17U);
}

TEST_F(caller_codec_fixture, expired_deadline_is_kept_for_the_decision)
{
    http::request from = good();
    from.headers["HICKORYMOUNT-TIMEOUT-MS"] = "0";
    EXPECT_LT(decoded(from).timeout, milliseconds{0});
}

TEST_F(caller_codec_fixture, transaction_paths_are_decoded)
{
    http::request from = good();
    from.path = "/v1/groups/orders/transactions/entry-1.ab.4/commit";
    from.body = R"({"class":"order"})";
    EXPECT_EQ(decoded(from).what, routing::operation::commit);
    EXPECT_EQ(decoded(from).transaction, transaction_id{"entry-1.ab.4"});
}

struct bad_request_row
{
    const char* name;
    void (*spoil)(http::request&);
    const char* expected;
};

class bad_request_fixture : public caller_codec_fixture, public ::testing::WithParamInterface<bad_request_row>
{
};

TEST_P(bad_request_fixture, request_is_refused_with_what_was_expected)
{
    http::request from = good();
    GetParam().spoil(from);
    const std::string problem = problem_of(from);
    EXPECT_NE(problem.find(GetParam().expected), std::string::npos) << problem;
}

INSTANTIATE_TEST_SUITE_P(
    rows, bad_request_fixture,
    ::testing::Values(
        bad_request_row{"truncated_body", [](http::request& it) { it.body.resize(20); }, "parse_json"},
        bad_request_row{"short_body", [](http::request& it) { it.is_body_short = true; }, "shorter than"},
        bad_request_row{"empty_body", [](http::request& it) { it.body.clear(); }, "parse_json"},
        bad_request_row{"nested_body",
                        [](http::request& it) { it.body = std::string(1000, '[') + std::string(1000, ']'); },
                        "nested deeper"},
        bad_request_row{"oversized_body", [](http::request& it) { it.body.assign(2 << 20, 'x'); },
                        "larger than"},
        bad_request_row{
            "not_utf8",
            [](http::request& it) { it.body = "{\"class\":\"order\",\"statement\":\"\xff\xfe\"}"; },
            "parse_json"},
        bad_request_row{"body_is_a_list", [](http::request& it) { it.body = "[]"; }, "a JSON object"},
        bad_request_row{"class_is_a_number",
                        [](http::request& it) { it.body = R"({"class":1,"statement":"x"})"; },
                        "class: expected a string"},
        bad_request_row{"statement_is_a_list",
                        [](http::request& it) { it.body = R"({"class":"a","statement":[]})"; },
                        "statement: expected a string"},
        bad_request_row{"no_class", [](http::request& it) { it.body = R"({"statement":"x"})"; },
                        "class: expected"},
        bad_request_row{"no_statement", [](http::request& it) { it.body = R"({"class":"x"})"; },
                        "statement: expected"},
        bad_request_row{"unknown_member",
                        [](http::request& it) { it.body = R"({"class":"x","statement":"y","retry":true})"; },
                        "unknown member 'retry'"},
        bad_request_row{"token_without_term",
                        [](http::request& it) { it.headers["hickorymount-session"] = "orders=17"; },
                        "session token"},
        bad_request_row{
            "token_too_large",
            [](http::request& it) { it.headers["hickorymount-session"] = std::string(5000, 'a'); },
            "larger than"},
        bad_request_row{"timeout_is_text",
                        [](http::request& it) { it.headers["HICKORYMOUNT-TIMEOUT-MS"] = "soon"; },
                        "milliseconds"},
        bad_request_row{"timeout_too_long",
                        [](http::request& it) { it.headers["HICKORYMOUNT-TIMEOUT-MS"] = "99999999"; },
                        "milliseconds"},
        bad_request_row{
            "key_too_long",
            [](http::request& it) { it.headers["Hickorymount-Request-Key"] = std::string(200, 'k'); },
            "longer than"},
        bad_request_row{"unknown_path", [](http::request& it) { it.path = "/v1/groups/orders/rows"; },
                        "no such"},
        bad_request_row{"no_group", [](http::request& it) { it.path = "/v1/groups/"; }, "no such"},
        bad_request_row{"wrong_method", [](http::request& it) { it.method = "GET"; }, "expected POST"}),
    [](const auto& info) { return info.param.name; });

class outcome_fixture : public ::testing::Test
{
};

TEST_F(outcome_fixture, three_outcomes_have_three_statuses_and_name_step_and_peer)
{
    routing::whole_answer answer;
    answer.body = R"({"value":"1"})";
    answer.token = session::raised({}, group_name{"orders"}, {2, 17});
    const http::response whole = encode_outcome(answer);
    EXPECT_EQ(whole.status, 200);
    EXPECT_EQ(json::parse(whole.body)["result"]["value"], "1");
    EXPECT_EQ(whole.headers.at(session_header), "orders=2:17");

    const http::response refused =
        encode_outcome(routing::not_run{routing::refusal::deadline_passed, "queue", "orders-1", "late", {}});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(json::parse(refused.body)["outcome"], "not_run");
    EXPECT_EQ(json::parse(refused.body)["step"], "queue");
    EXPECT_EQ(json::parse(refused.body)["peer"], "orders-1");

    const http::response unknown = encode_outcome(routing::outcome_unknown{"write", "orders-1", "lost"});
    EXPECT_EQ(unknown.status, 504);
    EXPECT_EQ(json::parse(unknown.body)["outcome"], "outcome_unknown");
    EXPECT_EQ(json::parse(unknown.body)["peer"], "orders-1");
}

TEST_F(outcome_fixture, body_that_is_not_json_is_passed_as_a_text)
{
    routing::whole_answer answer;
    answer.body = "not \"json\"";
    EXPECT_EQ(json::parse(encode_outcome(answer).body)["result"], "not \"json\"");
}

} // namespace
} // namespace hickorymount::gateway::detail
