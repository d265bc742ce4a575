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
    static node_event event(node_event_kind what)
    {
        return {time_point{milliseconds{7}}, unix_milliseconds{9}, std::move(what)};
    }

    static node_event event_of(const std::string& line)
    {
        return handle_failure([&] { return decode_event(line); },
                              [&](const failure& what) {
                                  ADD_FAILURE() << to_string(what) << " in " << line;
                                  return node_event{};
                              });
    }
};

TEST_F(event_codec_fixture, events_survive_encoding)
{
    routing::caller_request asked;
    asked.request = 3;
    asked.group = group_name{"orders"};
    asked.key = request_key{"1-a"};
    asked.token.seen[asked.group] = {2, 17};
    const std::vector<node_event> events{
        event(control_event_kind(control_started{host_name{"control-1"}, {host_name{"control-2"}}, {}, 4})),
        event(control_event_kind(consensus::synced{5})),
        event(control_event_kind(peer_message{host_name{"entry-1"}, protocol::not_leader{}})),
        event(routing::entry_event_kind(asked)),
        event(routing::entry_event_kind(
            routing::statement_refused{3, 4, routing::server_refusal::behind, {2, 16}})),
    };
    for (const node_event& each : events) {
        EXPECT_EQ(event_of(encode(each)), each);
    }
}

TEST_F(event_codec_fixture, encoded_events_drive_the_reducer_to_the_same_effects)
{
    routing::caller_request asked;
    asked.request = 1;
    asked.group = group_name{"orders"};
    const std::vector<node_event> events{
        event(routing::entry_event_kind(routing::entry_started{{host_name{"entry-1"}, incarnation_id{"a"}},
                                                               availability_zone{"zone-1"},
                                                               {host_name{"control-1"}}})),
        event(routing::entry_event_kind(asked)),
    };
    const routing::position_policy policy;
    node_state direct = routing::entry_state{};
    node_state decoded = routing::entry_state{};
    for (const node_event& each : events) {
        node_transition one = reduce(std::move(direct), each, policy);
        node_transition other = reduce(std::move(decoded), event_of(encode(each)), policy);
        EXPECT_FALSE(one.effects.empty());
        EXPECT_EQ(one, other);
        for (const node_effect& effect : one.effects) {
            const node_effect again = handle_failure([&] { return decode_effect(encode(effect)); },
                                                     [](const failure& what) {
                                                         ADD_FAILURE() << to_string(what);
                                                         return node_effect{};
                                                     });
            EXPECT_EQ(again, effect);
        }
        direct = std::move(one.state);
        decoded = std::move(other.state);
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
