#include "codec/json_codec.h"
#include "protocol/descriptions.h"
#include "protocol/message_codec.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::protocol {
namespace {

using codec::json;

class message_fixture : public ::testing::Test
{
protected:
    static std::string problem_of(const std::string& bytes)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(decode(bytes, "entry-1"));
                return std::string();
            },
            [](const failure& what) { return to_string(what); });
    }

    static json good() { return codec::encode(message(close_order{group_name{"orders"}, 4, true})); }
};

TEST_F(message_fixture, every_kind_of_message_survives_encoding)
{
    directory::directory_state directory;
    directory.claims = directory.claims.set({group_name{"orders"}, request_key{"1-a"}}, {});
    directory.groups = directory.groups.set(group_name{"orders"},
                                            {directory::group_phase::open, 2, {"orders-1"}, 2, {}, {{2, 9}}});
    consensus::snapshot snapshot{7, 3, {{{host_name{"control-1"}, folder_identity{"f"}}}, {}}, directory};
    const consensus::member self{host_name{"control-1"}, folder_identity{"f"}};
    const consensus::log_entry entry{
        4, 2,
        shared_value<consensus::entry_content>(consensus::entry_content(directory::command(
            directory::open_term{group_name{"orders"}, 2, backend_server_name{"orders-1"}, 8})))};
    server_report report;
    report.name = backend_server_name{"orders-1"};
    report.address = {"127.0.0.1", 80};
    const std::vector<message> kinds{
        consensus::vote_request{true, 3, self, 4, 2},
        consensus::vote_answer{true, 3, self, true},
        consensus::append_request{3, self, 3, 2, {entry}, 3, 17},
        consensus::append_answer{3, self, true, 4, 17},
        consensus::install_request{3, self, shared_value(snapshot), 18},
        consensus::join_request{self},
        consensus::member_hint{{{"control-1"}}},
        lease_request{{host_name{"entry-1"}, incarnation_id{"i"}},
                      {"casa-a"},
                      5,
                      6,
                      7,
                      {{{"orders-1"}, 3}},
                      {},
                      11,
                      endpoint{"127.0.0.1", 7455},
                      12,
                      true},
        lease_return{{host_name{"entry-1"}, incarnation_id{"i"}}},
        lease_grant{{host_name{"entry-1"}, incarnation_id{"i"}},
                    5,
                    milliseconds{2000},
                    {{{"orders-1"}, 3}},
                    {{"control-1"}},
                    relay_plan{12,
                               {{host_name{"entry-2"}, {"127.0.0.1", 7455}, {"casa-a"}}},
                               {{group_name{"orders"}, {false, {0}}}}}},
        not_leader{host_name{"control-2"}},
        view_update{
            1, 2, shared_value(configuration::versioned_configuration{}), {{group_name{"orders"}, {}}}},
        server_reports{{report}, true},
        suspicion{group_name{"orders"}, 2, backend_server_name{"orders-1"}, "lost", true},
        probe_order{
            9, backend_server_name{"orders-1"}, {"127.0.0.1", 80}, {"orders"}, server_interface::sessions, 3},
        probe_report{9, backend_server_name{"orders-1"}, report},
        close_order{group_name{"orders"}, 2, false},
        close_confirmation{
            {host_name{"entry-1"}, incarnation_id{"i"}}, group_name{"orders"}, 2, false, {2, 7}},
        resume_order{group_name{"orders"}, 2},
        takeover_order{1,
                       takeover_kind::follow,
                       group_name{"orders"},
                       {"orders-2"},
                       {"127.0.0.1", 81},
                       2,
                       server_interface::sessions,
                       true,
                       {},
                       8},
        takeover_report{1, group_name{"orders"}, {"orders-2"}, takeover_kind::promote, 2, true, 8},
        claim_call{3, directory::withdraw_claim{{group_name{"orders"}, request_key{"1-a"}}, {}}},
        claim_reply{3, {directory::claim_verdict::answered, directory::recorded_answer{"{}", {2, 9}}}},
    };
    ASSERT_EQ(kinds.size(), std::variant_size_v<message>);
    for (const message& kind : kinds) {
        const message decoded = handle_failure([&] { return decode(encode(kind), "entry-1"); },
                                               [](const failure& what) {
                                                   ADD_FAILURE() << to_string(what);
                                                   return message();
                                               });
        EXPECT_EQ(decoded, kind) << "kind " << kind.index();
    }
}

TEST_F(message_fixture, truncated_bytes_are_refused_wherever_they_end)
{
    const std::string whole = codec::to_cbor(good());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_NE(problem_of(whole.substr(0, size)), "") << size;
    }
    EXPECT_NE(problem_of(whole + "x"), "");
}

TEST_F(message_fixture, oversized_message_is_refused)
{
    const std::string bytes(codec::peer_input_limits.bytes + 1, '\x60');
    EXPECT_NE(problem_of(bytes).find("larger than the limit"), std::string::npos);
}

TEST_F(message_fixture, deeply_nested_message_is_refused)
{
    const std::string bytes(100'000, '\x81');
    EXPECT_NE(problem_of(bytes).find("nested deeper"), std::string::npos);
}

struct bad_message_row
{
    const char* name;
    void (*spoil)(json&);
    const char* expected;
};

class bad_message_fixture : public message_fixture, public ::testing::WithParamInterface<bad_message_row>
{
};

TEST_P(bad_message_fixture, message_is_refused_with_the_member_that_is_wrong)
{
    json document = good();
    GetParam().spoil(document);
    const std::string problem = problem_of(codec::to_cbor(document));
    EXPECT_NE(problem.find(GetParam().expected), std::string::npos) << problem;
    EXPECT_NE(problem.find("entry-1"), std::string::npos) << problem;
}

INSTANTIATE_TEST_SUITE_P(
    rows, bad_message_fixture,
    ::testing::Values(
        bad_message_row{"unknown_kind",
                        [](json& it) {
                            it = json{{"shutdown", json::object()}};
                        },
                        "a known kind"},
        bad_message_row{"two_kinds", [](json& it) { it["lease_return"] = json::object(); }, "one member"},
        bad_message_row{"not_an_object",
                        [](json& it) {
                            it = json::array({1, 2});
                        },
                        "an object"},
        bad_message_row{"missing_member", [](json& it) { it["close_order"].erase("term"); },
                        "term: expected a value"},
        bad_message_row{"unknown_member", [](json& it) { it["close_order"]["force"] = true; },
                        "only known members"},
        bad_message_row{"text_for_a_number", [](json& it) { it["close_order"]["term"] = "4"; },
                        "term: expected a whole"},
        bad_message_row{"negative_number", [](json& it) { it["close_order"]["term"] = -4; }, "not negative"},
        bad_message_row{"number_for_a_text", [](json& it) { it["close_order"]["group"] = 4; },
                        "group: expected a string"},
        bad_message_row{"number_for_a_flag", [](json& it) { it["close_order"]["drain"] = 1; },
                        "true or false"},
        bad_message_row{"not_utf8", [](json& it) { it["close_order"]["group"] = "\xff\xfe"; }, "UTF-8"}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace hickorymount::protocol
