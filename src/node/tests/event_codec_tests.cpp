#include "node/event_codec.h"
#include "node/reduce.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::node {
namespace {

class event_codec_fixture : public ::testing::Test
{
protected:
    static node_event event(node_event_payload payload)
    {
        return {time_point{milliseconds{7}}, unix_milliseconds{9}, std::move(payload)};
    }

    static node_event decode_or_fail(const std::string& line)
    {
        return handle_failure([&] { return decode_event(line); },
                              [&](const failure& error) {
                                  ADD_FAILURE() << to_string(error) << " in " << line;
                                  return node_event{};
                              });
    }
};

TEST_F(event_codec_fixture, decoded_events_equal_the_encoded_ones)
{
    routing::caller_request request;
    request.request = 3;
    request.group = group_name{"orders"};
    request.key = request_key{"1-a"};
    request.token.positions[request.group] = {2, 17};
    const std::vector<node_event> events{
        event(
            control_event_payload(control_started{host_name{"control-1"}, {host_name{"control-2"}}, {}, 4})),
        event(control_event_payload(consensus::sync_completed{5})),
        event(control_event_payload(peer_message_received{host_name{"entry-1"}, protocol::not_leader{}})),
        event(routing::entry_event_payload(request)),
        event(routing::entry_event_payload(
            routing::statement_refused{3, 4, routing::server_refusal_reason::behind, {2, 16}})),
    };
    for (const node_event& original : events) {
        EXPECT_EQ(decode_or_fail(encode(original)), original);
    }
}

TEST_F(event_codec_fixture, decoded_events_cause_the_same_effects)
{
    routing::caller_request request;
    request.request = 1;
    request.group = group_name{"orders"};
    const std::vector<node_event> events{
        event(routing::entry_event_payload(routing::entry_started{{host_name{"entry-1"}, incarnation_id{"a"}},
                                                                  availability_zone{"zone-1"},
                                                                  {host_name{"control-1"}}})),
        event(routing::entry_event_payload(request)),
    };
    const routing::prefer_replica_policy policy;
    node_state direct = routing::entry_state{};
    node_state decoded = routing::entry_state{};
    for (const node_event& original : events) {
        node_transition direct_transition = reduce(std::move(direct), original, policy);
        node_transition decoded_transition =
            reduce(std::move(decoded), decode_or_fail(encode(original)), policy);
        EXPECT_FALSE(direct_transition.effects.empty());
        EXPECT_EQ(direct_transition, decoded_transition);
        for (const node_effect& effect : direct_transition.effects) {
            const node_effect decoded_effect = handle_failure([&] { return decode_effect(encode(effect)); },
                                                              [](const failure& error) {
                                                                  ADD_FAILURE() << to_string(error);
                                                                  return node_effect{};
                                                              });
            EXPECT_EQ(decoded_effect, effect);
        }
        direct = std::move(direct_transition.state);
        decoded = std::move(decoded_transition.state);
    }
}

TEST_F(event_codec_fixture, line_of_an_unknown_event_is_refused)
{
    const bool is_refused = handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(decode_event(R"({"now":1,"wall":1,"what":{"entry":{"reboot":{}}}})"));
            return false;
        },
        [](const failure&) { return true; });
    EXPECT_TRUE(is_refused);
}

} // namespace
} // namespace hickorymount::node
