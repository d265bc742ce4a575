#include "codec/json_codec.h"
#include "protocol/descriptions.h"
#include "protocol/message_codec.h"

#include <cstdio>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::protocol {
namespace {

using codec::json;

class message_fixture : public ::testing::Test
{
protected:
    static std::string decode_error(const std::string& bytes)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(decode(bytes, "entry-1"));
                return std::string();
            },
            [](const failure& error) { return to_string(error); });
    }

    static json valid_document()
    {
        return codec::encode(message(close_term_request{group_name{"orders"}, 4, true}));
    }
};

TEST_F(message_fixture, every_message_type_is_equal_after_encoding_and_decoding)
{
    directory::directory_state directory;
    directory.claims = directory.claims.set({group_name{"orders"}, request_key{"1-a"}}, {});
    directory.groups = directory.groups.set(group_name{"orders"},
                                            {directory::group_phase::open, 2, {"orders-1"}, 2, {}, {{2, 9}}});
    const consensus::member self{host_name{"control-1"}, data_folder_id{"f"}};
    const consensus::membership members{{self}, {}, std::vector<consensus::member>{self}};
    consensus::snapshot snapshot{7, 3, members, directory};
    const consensus::log_entry entry{
        4, 2,
        shared_value<consensus::entry_content>(consensus::entry_content(directory::command(
            directory::open_term{group_name{"orders"}, 2, backend_server_name{"orders-1"}, 8})))};
    server_report report;
    report.name = backend_server_name{"orders-1"};
    report.group = group_name{"orders"};
    report.address = {"127.0.0.1", 80};
    configuration::configuration_difference difference;
    difference.base_version = 3;
    difference.version = 5;
    difference.settings = configuration::configuration{};
    difference.removed_routes = {{"heads", "/"}};
    difference.changed_routes = {{configuration::database_route{}}, {"proofs"}, {0}};
    const std::vector<message> messages{
        consensus::vote_request{true, 3, self, 4, 2},
        consensus::vote_response{true, 3, self, true},
        consensus::append_entries_request{3, self, 3, 2, {entry}, 3, 17},
        consensus::append_entries_response{3, self, true, 4, 17},
        consensus::install_snapshot_request{3, self, shared_value(snapshot), 18},
        consensus::join_request{self},
        consensus::member_hint{{{"control-1"}}},
        consensus::leave_request{{host_name{"control-1"}, data_folder_id{"i"}}},
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
                      true,
                      4},
        lease_release{{host_name{"entry-1"}, incarnation_id{"i"}}, {{{group_name{"orders"}, {2, 9}}}}},
        lease_grant{{host_name{"entry-1"}, incarnation_id{"i"}},
                    5,
                    milliseconds{2000},
                    {{{"orders-1"}, 3}},
                    {{"control-1"}},
                    relay_plan{12,
                               {{host_name{"entry-2"}, {"127.0.0.1", 7455}, {"casa-a"}}},
                               {{group_name{"orders"}, {false, {0}}}}}},
        not_leader{host_name{"control-2"}},
        view_update{1, 2, {{group_name{"orders"}, {}}}},
        server_reports{{report}, true},
        primary_suspicion{group_name{"orders"}, 2, backend_server_name{"orders-1"}, "lost", true},
        probe_request{
            9, backend_server_name{"orders-1"}, {"127.0.0.1", 80}, {"orders"}, server_interface::sessions, 3},
        probe_response{9, backend_server_name{"orders-1"}, report},
        close_term_request{group_name{"orders"}, 2, false},
        close_term_response{
            {host_name{"entry-1"}, incarnation_id{"i"}}, group_name{"orders"}, 2, false, {2, 7}},
        resume_term_request{group_name{"orders"}, 2},
        role_change_request{1,
                            server_role_change::follow,
                            group_name{"orders"},
                            {"orders-2"},
                            {"127.0.0.1", 81},
                            2,
                            server_interface::sessions,
                            true,
                            {},
                            8},
        role_change_response{1, group_name{"orders"}, {"orders-2"}, server_role_change::promote, 2, true, 8},
        claim_request{3, directory::withdraw_claim{{group_name{"orders"}, request_key{"1-a"}}, {}}},
        claim_response{3, {directory::claim_outcome::answered, directory::recorded_answer{"{}", {2, 9}}}},
        configuration_update{shared_value(difference)},
    };
    ASSERT_EQ(messages.size(), std::variant_size_v<message>);
    for (const message& original : messages) {
        const message decoded = handle_failure([&] { return decode(encode(original), "entry-1"); },
                                               [](const failure& error) {
                                                   ADD_FAILURE() << to_string(error);
                                                   return message();
                                               });
        EXPECT_EQ(decoded, original) << "kind " << original.index();
    }
}

TEST_F(message_fixture, truncated_message_is_rejected_at_every_length)
{
    const std::string bytes = codec::to_cbor(valid_document());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_NE(decode_error(bytes.substr(0, size)), "") << size;
    }
    EXPECT_NE(decode_error(bytes + "x"), "");
}

TEST_F(message_fixture, oversized_message_is_rejected)
{
    const std::string bytes(codec::peer_input_limits.bytes + 1, '\x60');
    EXPECT_NE(decode_error(bytes).find("larger than the limit"), std::string::npos);
}

TEST_F(message_fixture, deeply_nested_message_is_rejected)
{
    const std::string bytes(100'000, '\x81');
    EXPECT_NE(decode_error(bytes).find("nested deeper"), std::string::npos);
}

TEST_F(message_fixture, length_beyond_the_message_is_rejected)
{
    for (const unsigned char kind : {0x40, 0x60, 0x80, 0xa0}) {
        for (const std::string& length : {std::string("\x1b\x7f\xff\xff\xff\xff\xff\xff\xff"),
                                          std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff"),
                                          std::string("\x1a\xff\xff\xff\xff"), std::string("\x18\x20")}) {
            std::string bytes = length + "abc";
            bytes[0] = static_cast<char>(kind | static_cast<unsigned char>(bytes[0]));
            EXPECT_NE(decode_error(bytes), "") << static_cast<int>(kind) << " " << length.size();
        }
    }
}

TEST_F(message_fixture, text_with_any_characters_is_the_same_after_decoding)
{
    for (const std::string& text :
         {std::string("a\r\nQUERY x WRITE 1 2"), std::string("a\0b", 3), std::string("\"a\\\n"),
          std::string("\x1b[2J\x7f"), std::string("\xc3\xa6"), std::string("{\"close_order\":1}")}) {
        const message original = close_term_request{group_name{text}, 4, true};
        const message decoded = handle_failure([&] { return decode(encode(original), "entry-1"); },
                                               [](const failure& error) {
                                                   ADD_FAILURE() << to_string(error);
                                                   return message();
                                               });
        EXPECT_EQ(decoded, original);
    }
}

struct invalid_message_case
{
    const char* name;
    void (*modify)(json&);
    const char* expected;
};

class invalid_message_fixture : public message_fixture,
                                public ::testing::WithParamInterface<invalid_message_case>
{
};

TEST_P(invalid_message_fixture, invalid_message_is_rejected_and_the_error_names_the_member)
{
    json document = valid_document();
    GetParam().modify(document);
    const std::string error = decode_error(codec::to_cbor(document));
    EXPECT_NE(error.find(GetParam().expected), std::string::npos) << error;
    EXPECT_NE(error.find("entry-1"), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    rows, invalid_message_fixture,
    ::testing::Values(
        invalid_message_case{"unknown_kind",
                             [](json& document) {
                                 document = json{{"shutdown", json::object()}};
                             },
                             "a known kind"},
        invalid_message_case{"two_kinds", [](json& document) { document["lease_return"] = json::object(); },
                             "one member"},
        invalid_message_case{"not_an_object",
                             [](json& document) {
                                 document = json::array({1, 2});
                             },
                             "an object"},
        invalid_message_case{"missing_member", [](json& document) { document["close_order"].erase("term"); },
                             "term: expected a value"},
        invalid_message_case{"unknown_member",
                             [](json& document) { document["close_order"]["force"] = true; },
                             "only known members"},
        invalid_message_case{"text_for_a_number",
                             [](json& document) { document["close_order"]["term"] = "4"; },
                             "term: expected a whole"},
        invalid_message_case{"negative_number", [](json& document) { document["close_order"]["term"] = -4; },
                             "not negative"},
        invalid_message_case{"number_for_a_text",
                             [](json& document) { document["close_order"]["group"] = 4; },
                             "group: expected a string"},
        invalid_message_case{"number_for_a_flag",
                             [](json& document) { document["close_order"]["drain"] = 1; }, "true or false"},
        invalid_message_case{"not_utf8",
                             [](json& document) { document["close_order"]["group"] = "\xff\xfe"; }, "UTF-8"}),
    [](const auto& info) { return info.param.name; });

} // namespace
/// A list of reports with one entry that no decoder of this version would have let in.
class stored_report_fixture : public ::testing::Test
{
protected:
    static server_report report_of(const std::string& name)
    {
        server_report report;
        report.name = backend_server_name{name};
        report.group = group_name{"orders"};
        report.zone = availability_zone{"oslo-b"};
        report.address = {"10.0.0.1", 8080};
        report.started_at = unix_milliseconds{1'700'000'000'000};
        report.interface = server_interface::sessions;
        return report;
    }

    /// Sends the list as a peer does, after `change` to the encoded odd entry.
    static result<message> receive(const std::function<void(codec::json&)>& change)
    {
        server_reports list;
        list.reports = {report_of("first"), report_of("odd"), report_of("third")};
        list.is_complete = true;
        codec::json document = codec::encode(message(list));
        change(document["server_reports"]["reports"][1]);
        return decode(codec::to_cbor(document), "peer");
    }
};

// Guards against a stored odd entry that stops a reader from following the rest of the list.
TEST_F(stored_report_fixture, odd_entry_is_skipped_and_the_others_are_followed)
{
    codec::json deep = codec::json::array();
    for (int depth = 0; depth < 16; ++depth) {
        deep = codec::json::array({deep});
    }
    const std::vector<std::function<void(codec::json&)>> changes = {
        [&](codec::json& entry) { entry["zone"] = deep; },
        [](codec::json& entry) { entry["address"]["port"] = 0; },
        [](codec::json& entry) { entry["address"]["port"] = 65'536; },
        [](codec::json& entry) { entry["address"]["port"] = -1; },
        [](codec::json& entry) { entry["address"]["address"] = ""; },
        [](codec::json& entry) { entry["sequence"] = std::numeric_limits<std::uint64_t>::max(); },
        [](codec::json& entry) { entry["sequence"] = 1e300; },
        [](codec::json& entry) { entry["started_at"] = std::numeric_limits<std::uint64_t>::max(); },
        [](codec::json& entry) { entry["started_at"] = std::numeric_limits<std::int64_t>::max(); },
        [](codec::json& entry) { entry["started_at"] = -1; },
        [](codec::json& entry) { entry["name"] = ""; },
        [](codec::json& entry) { entry["name"] = "a\r\nBYE"; },
        [](codec::json& entry) { entry["name"] = "-"; },
        [](codec::json& entry) { entry["group"] = "a\nb"; },
        [](codec::json& entry) { entry["group"] = "\xc2\x85"; },
        [](codec::json& entry) { entry["zone"] = "a b"; },
        [](codec::json& entry) { entry["address"]["address"] = "10.0.0.1\r\nX"; },
        [](codec::json& entry) { entry["name"] = std::string(100'000, 'x'); },
        [](codec::json& entry) { entry["group"] = nullptr; },
        [](codec::json& entry) { entry["role"] = "observer"; },
        [](codec::json& entry) { entry.erase("at"); },
        [](codec::json& entry) { entry = codec::json::array(); },
        [](codec::json& entry) { entry = 5; }};
    for (std::size_t row = 0; row < changes.size(); ++row) {
        const bool is_followed = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(received, receive(changes[row]));
                const auto& list = std::get<server_reports>(received);
                EXPECT_EQ(list.reports, (std::vector<server_report>{report_of("first"), report_of("third")}));
                EXPECT_EQ(list.skipped.size(), 1U);
                EXPECT_FALSE(list.is_complete);
                return true;
            },
            [](const failure&) { return false; });
        EXPECT_TRUE(is_followed) << "row " << row;
    }
}

TEST_F(stored_report_fixture, last_report_with_nothing_but_a_name_is_followed)
{
    server_report last;
    last.name = backend_server_name{"second"};
    last.is_leaving = last.has_left = true;
    EXPECT_EQ(report_error(last), "");
    last.name.value = "a b";
    EXPECT_NE(report_error(last), "");
}

/// Guards against a lease exchange that takes more than 12 KB/s of a host's link, with 24 servers and 40
/// customers at the host.
TEST_F(message_fixture, lease_exchange_with_many_customers_stays_small)
{
    // Regular renewals and early ones together. The replays of src/limits have 3.7 in calm and 4.0 in
    // overload.
    constexpr double renewals_per_second = 4.0;
    lease_request request;
    request.entry = {host_name{"entry-10"}, incarnation_id{"0123456789abcdef"}};
    request.zone = availability_zone{"zone-a"};
    request.sequence = request.granted_sequence = 100'000;
    request.servers_digest = request.relay_plan_digest = std::numeric_limits<std::uint64_t>::max();
    lease_grant grant;
    grant.entry = request.entry;
    grant.sequence = 100'000;
    for (int server = 0; server < 24; ++server) {
        const backend_server_name name{"server-" + std::to_string(server)};
        request.held_connections[name] = request.wanted_connections[name] = 2;
        grant.connection_limits[name] = 2;
    }
    for (int host = 0; host < 9; ++host) {
        grant.voting_control_hosts.push_back(host_name{"10.0.0.10:7100"});
    }
    const std::size_t plain = encode(request).size() + encode(grant).size();
    for (int customer = 0; customer < 40; ++customer) {
        const customer_name name{"customer-" + std::to_string(customer)};
        request.customer_demands[name] = {30, 3, 25};
        grant.customer_quotas[name] = 28;
    }
    const std::size_t bytes = encode(request).size() + encode(grant).size();
    std::printf("lease exchange: %zu bytes, %zu without customers\n", bytes, plain);
    EXPECT_LT(static_cast<double>(bytes) * renewals_per_second, 12'000);
}

} // namespace hickorymount::protocol
