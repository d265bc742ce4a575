#include "consensus/reduce.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::consensus {
namespace {

/// One of three voters, whose disk completes writes only when the test says so.
class durability_fixture : public ::testing::Test
{
protected:
    durability_fixture()
    {
        snapshot founding;
        founding.last_index = 1;
        founding.last_term = 1;
        founding.members.voters = {host("one"), host("two"), host("three")};
        stored_state stored;
        stored.identity = host("one").identity;
        stored.persistent_state.term = 1;
        stored.latest_snapshot = shared_value(founding);
        apply_event(started{host("one"), {}, std::move(stored), 1});
        m_effects.clear();
    }

    static member host(const std::string& name) { return {host_name{name}, data_folder_id{name}}; }

    static log_entry entry(log_index index, log_term term)
    {
        return {index, term, shared_value<entry_content>(entry_content(no_operation{}))};
    }

    void apply_event(event_payload payload)
    {
        transition next = reduce(std::move(m_state), {m_now, std::move(payload)});
        m_state = std::move(next.state);
        for (effect& each : next.effects) {
            m_effects.push_back(std::move(each));
        }
    }

    void receive(const std::string& sender, message content)
    {
        apply_event(message_received{host_name{sender}, std::move(content)});
    }

    append_entries_request request(log_term term, log_index previous, std::vector<log_entry> entries)
    {
        const log_term previous_term = previous == 1 ? 1 : term;
        return {term, host("two"), previous, previous_term, std::move(entries), 1, ++m_round};
    }

    template <class Message>
    std::vector<Message> take_sent()
    {
        std::vector<Message> sent;
        for (const effect& each : m_effects) {
            const auto* message_sent = std::get_if<send_message>(&each);
            if (message_sent != nullptr && std::holds_alternative<Message>(message_sent->content)) {
                sent.push_back(std::get<Message>(message_sent->content));
            }
        }
        m_effects.clear();
        return sent;
    }

    /// Lets this host win an election without completing a write that it doesn't wait for.
    void become_leader()
    {
        m_now = m_state.election_at;
        apply_event(timer_expired{});
        receive("two", vote_response{true, m_state.persistent_state.term + 1, host("two"), true});
        apply_event(sync_completed{m_state.last_sync});
        receive("two", vote_response{false, m_state.persistent_state.term, host("two"), true});
    }

    time_point m_now{milliseconds{100'000}};
    consensus_state m_state;
    std::vector<effect> m_effects;
    round_number m_round = 0;
};

TEST_F(durability_fixture, follower_answers_nothing_while_its_disk_refuses_writes)
{
    receive("two", request(1, 1, {entry(2, 1)}));
    for (int at = 0; at < 100; ++at) {
        receive("two", request(1, 2, {}));
    }
    EXPECT_TRUE(take_sent<append_entries_response>().empty());
    EXPECT_LE(m_state.deferred_messages.size(), 1U);
    apply_event(sync_completed{m_state.last_sync});
    const auto answers = take_sent<append_entries_response>();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().match_index, 2U);
    EXPECT_EQ(answers.front().round, m_round);
}

TEST_F(durability_fixture, voter_grants_no_vote_while_its_disk_refuses_writes)
{
    receive("two", vote_request{false, 2, host("two"), 1, 1});
    EXPECT_TRUE(take_sent<vote_response>().empty());
    apply_event(sync_completed{m_state.last_sync});
    const auto votes = take_sent<vote_response>();
    ASSERT_EQ(votes.size(), 1U);
    EXPECT_TRUE(votes.front().is_granted);
}

TEST_F(durability_fixture, leader_commits_by_the_other_voters_while_its_disk_refuses_writes)
{
    become_leader();
    const log_index last = last_index(m_state);
    const log_term term = m_state.persistent_state.term;
    receive("two", append_entries_response{term, host("two"), true, last, m_state.heartbeat_round});
    EXPECT_LT(m_state.commit_index, last);
    receive("three", append_entries_response{term, host("three"), true, last, m_state.heartbeat_round});
    EXPECT_EQ(m_state.commit_index, last);
}

TEST_F(durability_fixture, entries_that_a_received_snapshot_has_replaced_do_not_count_as_durable)
{
    receive("two", request(1, 1, {entry(2, 1), entry(3, 1), entry(4, 1), entry(5, 1)}));
    apply_event(sync_completed{m_state.last_sync});
    ASSERT_EQ(m_state.durable_index, 5U);
    snapshot content = *m_state.latest_snapshot;
    content.last_index = 3;
    content.last_term = 2;
    receive("two", install_snapshot_request{2, host("two"), shared_value(content), ++m_round});
    EXPECT_EQ(m_state.durable_index, 3U);
    apply_event(sync_completed{m_state.last_sync});
    EXPECT_EQ(m_state.durable_index, 3U);
    become_leader();
    EXPECT_EQ(m_state.durable_index, 3U);
    EXPECT_EQ(last_index(m_state), 4U);
}

TEST_F(durability_fixture, unfinished_write_of_a_replaced_log_makes_none_of_its_entries_durable)
{
    receive("two", request(1, 1, {entry(2, 1), entry(3, 1), entry(4, 1), entry(5, 1)}));
    const sync_id unfinished = m_state.last_sync;
    snapshot content = *m_state.latest_snapshot;
    content.last_index = 3;
    content.last_term = 2;
    receive("two", install_snapshot_request{2, host("two"), shared_value(content), ++m_round});
    apply_event(sync_completed{unfinished});
    EXPECT_LE(m_state.durable_index, 3U);
}

} // namespace
} // namespace hickorymount::consensus
