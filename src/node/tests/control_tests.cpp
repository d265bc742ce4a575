#include "consensus/reduce.h"
#include "node/tests/node_fixture.h"

namespace hickorymount::node {
namespace {

using directory::change_outcome;
using supervision::configuration_change_response;

class control_fixture : public node_fixture
{
protected:
    void SetUp() override
    {
        start_control_hosts(3);
        ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
    }

    std::string follower() const { return leader() == "control-1" ? "control-2" : "control-1"; }

    std::string other_follower() const { return leader() == "control-3" ? "control-2" : "control-3"; }

    configuration_change_response change_and_wait(const std::string& host, const std::string& id,
                                                  std::uint64_t base)
    {
        const std::uint64_t request = change_configuration(host, id, base, default_configuration());
        EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }, milliseconds{8000}));
        const auto answer = operator_answer(request);
        const auto* accepted = answer ? std::get_if<configuration_change_response>(&*answer) : nullptr;
        EXPECT_NE(accepted, nullptr) << "the leader did not answer the change";
        return accepted == nullptr ? configuration_change_response{} : *accepted;
    }

    std::uint64_t configuration_version_at(const std::string& host) const
    {
        return control_state_of(host).directory.configuration->version;
    }

    /// Kills the leader and waits until another host leads.
    void kill_leader()
    {
        const std::string old_leader = leader();
        kill(old_leader);
        ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    }
};

TEST_F(control_fixture, change_accepted_is_on_a_majority_of_disks)
{
    EXPECT_EQ(change_and_wait(leader(), "a", 0).outcome, change_outcome::accepted);
    advance(milliseconds{200});
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        EXPECT_EQ(configuration_version_at(host), 1U) << host;
    }
}

TEST_F(control_fixture, equal_versions_at_the_same_moment_one_wins_and_one_conflicts)
{
    const std::uint64_t first_request = change_configuration(leader(), "a", 0, default_configuration());
    const std::uint64_t second_request = change_configuration(leader(), "b", 0, default_configuration());
    ASSERT_TRUE(
        advance_until([&] { return operator_answer(first_request) && operator_answer(second_request); }));
    const auto first = std::get<configuration_change_response>(*operator_answer(first_request));
    const auto second = std::get<configuration_change_response>(*operator_answer(second_request));
    EXPECT_EQ(first.outcome, change_outcome::accepted);
    EXPECT_EQ(second.outcome, change_outcome::conflict);
    EXPECT_EQ(second.version, 1U);
    EXPECT_EQ(configuration_version_at(leader()), 1U);
}

TEST_F(control_fixture, resend_after_a_leader_change_gets_the_first_answer)
{
    change_and_wait(leader(), "a", 0);
    change_and_wait(leader(), "b", 1);
    kill_leader();
    const configuration_change_response resent = change_and_wait(leader(), "a", 0);
    EXPECT_EQ(resent.outcome, change_outcome::accepted);
    EXPECT_EQ(resent.version, 1U);
    EXPECT_EQ(configuration_version_at(leader()), 2U);
}

TEST_F(control_fixture, resend_of_a_conflict_stays_a_conflict)
{
    change_and_wait(leader(), "a", 0);
    EXPECT_EQ(change_and_wait(leader(), "b", 0).outcome, change_outcome::conflict);
    kill_leader();
    EXPECT_EQ(change_and_wait(leader(), "b", 0).outcome, change_outcome::conflict);
    EXPECT_EQ(change_and_wait(leader(), "c", 1).outcome, change_outcome::accepted);
}

TEST_F(control_fixture, leader_killed_before_its_sync_loses_only_what_was_not_answered)
{
    change_and_wait(leader(), "a", 0);
    const std::string old_leader = leader();
    block_syncs(follower());
    block_syncs(other_follower());
    block_syncs(old_leader);
    const std::uint64_t request = change_configuration(old_leader, "b", 1, default_configuration());
    advance(milliseconds{100});
    EXPECT_FALSE(operator_answer(request).has_value());
    kill(old_leader);
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        unblock_syncs(host);
    }
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    EXPECT_GE(configuration_version_at(leader()), 1U);
    restart(old_leader);
    advance(milliseconds{1000});
    EXPECT_EQ(configuration_version_at(old_leader), configuration_version_at(leader()));
}

TEST_F(control_fixture, leader_killed_during_its_sync_keeps_a_change_that_followers_hold)
{
    const std::string old_leader = leader();
    block_syncs(old_leader);
    const std::uint64_t request = change_configuration(old_leader, "a", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    kill(old_leader);
    unblock_syncs(old_leader);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    EXPECT_EQ(configuration_version_at(leader()), 1U);
    restart(old_leader);
    EXPECT_TRUE(advance_until([&] { return configuration_version_at(old_leader) == 1; }));
}

TEST_F(control_fixture, leader_killed_after_its_sync_keeps_the_change)
{
    change_and_wait(leader(), "a", 0);
    kill_leader();
    EXPECT_EQ(configuration_version_at(leader()), 1U);
}

TEST_F(control_fixture, no_answer_without_a_majority_of_syncs)
{
    block_syncs(follower());
    block_syncs(other_follower());
    const std::uint64_t request = change_configuration(leader(), "a", 0, default_configuration());
    advance(milliseconds{2000});
    const auto answer = operator_answer(request);
    EXPECT_TRUE(!answer || std::holds_alternative<supervision::refused_response>(*answer));
}

TEST_F(control_fixture, leader_does_not_count_itself_before_its_own_sync)
{
    const std::string leader_name = leader();
    block_syncs(leader_name);
    isolate(other_follower());
    const std::uint64_t request = change_configuration(leader_name, "a", 0, default_configuration());
    advance(milliseconds{400});
    EXPECT_FALSE(operator_answer(request).has_value());
    unblock_syncs(leader_name);
    EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
}

TEST_F(control_fixture, follower_does_not_confirm_entries_before_its_sync)
{
    const std::string leader_name = leader();
    block_syncs(follower());
    isolate(other_follower());
    const std::uint64_t request = change_configuration(leader_name, "a", 0, default_configuration());
    advance(milliseconds{400});
    EXPECT_FALSE(operator_answer(request).has_value());
    unblock_syncs(follower());
    EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
}

TEST_F(control_fixture, lost_disk_under_its_old_name_has_no_vote)
{
    change_and_wait(leader(), "a", 0);
    const std::string lost = follower();
    const std::string healthy = other_follower();
    const std::string old_leader = leader();
    kill(lost);
    advance(milliseconds{100});
    wipe_disk(lost);
    isolate(old_leader);
    isolate(healthy);
    restart(lost);
    reconnect(lost, healthy);
    // Only two hosts are connected, and the one with the new disk has no vote: no majority.
    advance(milliseconds{5000});
    EXPECT_NE(control_state_of(lost).consensus.current_role, consensus::role::leader);
    EXPECT_NE(control_state_of(healthy).consensus.current_role, consensus::role::leader);
}

TEST_F(control_fixture, lost_disk_is_replaced_as_a_learner_then_as_a_voter)
{
    change_and_wait(leader(), "a", 0);
    const std::string lost = follower();
    kill(lost);
    wipe_disk(lost);
    restart(lost);
    ASSERT_TRUE(advance_until([&] {
        const consensus::membership& members = control_state_of(leader()).consensus.members;
        return members.voters.size() == 3 && members.learners.empty() &&
               std::find(members.voters.begin(), members.voters.end(),
                         control_state_of(lost).consensus.self) != members.voters.end();
    }));
    EXPECT_EQ(configuration_version_at(lost), 1U);
}

TEST_F(control_fixture, fourth_host_stays_a_learner_until_a_fifth_makes_both_voters)
{
    const auto members = [this] { return control_state_of(leader()).consensus.members; };
    add_control_host("control-4");
    ASSERT_TRUE(advance_until([&] { return members().learners.size() == 1; }));
    advance(milliseconds{6000});
    EXPECT_EQ(members().voters.size(), 3U);
    add_control_host("control-5");
    EXPECT_TRUE(advance_until([&] { return members().voters.size() == 5 && members().learners.empty(); }));
}

TEST_F(control_fixture, learner_replaces_a_lost_voter)
{
    const auto members = [this] { return control_state_of(leader()).consensus.members; };
    add_control_host("control-4");
    ASSERT_TRUE(advance_until([&] { return members().learners.size() == 1; }));
    const std::string lost = follower();
    const consensus::member lost_member = control_state_of(lost).consensus.self;
    kill(lost);
    EXPECT_TRUE(advance_until(
        [&] {
            const auto& voters = members().voters;
            return voters.size() == 3 && std::find(voters.begin(), voters.end(), lost_member) == voters.end();
        },
        milliseconds{10'000}));
}

TEST_F(control_fixture, one_disk_repaired_and_then_another_host_lost_keeps_the_state)
{
    change_and_wait(leader(), "a", 0);
    const std::string lost = follower();
    kill(lost);
    wipe_disk(lost);
    restart(lost);
    ASSERT_TRUE(advance_until([&] {
        const auto& self = control_state_of(lost).consensus.self;
        const auto& members = control_state_of(leader()).consensus.members;
        return !members.outgoing_voters &&
               std::find(members.voters.begin(), members.voters.end(), self) != members.voters.end();
    }));
    const std::string second_lost = leader();
    kill(second_lost);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != second_lost; }));
    EXPECT_EQ(configuration_version_at(leader()), 1U);
    EXPECT_EQ(change_and_wait(leader(), "b", 1).outcome, change_outcome::accepted);
}

TEST_F(control_fixture, host_lost_before_the_repaired_one_has_the_log_blocks_changes_but_loses_none)
{
    change_and_wait(leader(), "a", 0);
    const std::string lost = follower();
    const std::string survivor = other_follower();
    const std::string second_lost = leader();
    kill(lost);
    advance(milliseconds{100});
    wipe_disk(lost);
    restart(lost);
    kill(second_lost);
    advance(milliseconds{3000});
    EXPECT_NE(control_state_of(survivor).consensus.current_role, consensus::role::leader);
    restart(second_lost);
    ASSERT_TRUE(advance_until([&] { return !leader().empty(); }));
    EXPECT_EQ(configuration_version_at(leader()), 1U);
}

TEST_F(control_fixture, host_cut_off_for_long_neither_wins_nor_disturbs_when_it_returns)
{
    const std::string disconnected = follower();
    isolate(disconnected);
    for (int index = 0; index < 20; ++index) {
        change_and_wait(leader(), "change-" + std::to_string(index), static_cast<std::uint64_t>(index));
    }
    advance(milliseconds{20'000});
    const std::string leader_before = leader();
    const consensus::log_term term = control_state_of(leader_before).consensus.persistent_state.term;
    EXPECT_EQ(configuration_version_at(disconnected), 0U);
    restore_links(disconnected);
    advance(milliseconds{2000});
    EXPECT_EQ(leader(), leader_before);
    EXPECT_EQ(control_state_of(leader_before).consensus.persistent_state.term, term);
    EXPECT_EQ(configuration_version_at(disconnected), 20U);
}

TEST_F(control_fixture, leader_cut_off_steps_down_and_refuses)
{
    const std::string old_leader = leader();
    isolate(old_leader);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    change_and_wait(leader(), "a", 0);
    advance(milliseconds{1000});
    EXPECT_NE(control_state_of(old_leader).consensus.current_role, consensus::role::leader);
    const std::uint64_t request = change_configuration(old_leader, "b", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    EXPECT_TRUE(std::holds_alternative<supervision::refused_response>(*operator_answer(request)));
}

TEST_F(control_fixture, configuration_is_not_shown_by_a_leader_that_a_majority_does_not_confirm)
{
    const std::string old_leader = leader();
    isolate(old_leader);
    send_operator_request(old_leader, supervision::configuration_requested{901});
    advance(milliseconds{400});
    const auto answer = operator_answer(901);
    EXPECT_TRUE(!answer || std::holds_alternative<supervision::refused_response>(*answer));
}

TEST_F(control_fixture, restart_of_all_after_many_changes_restores_the_last)
{
    constexpr std::uint64_t changes = 1000;
    for (std::uint64_t index = 0; index < changes; ++index) {
        const std::uint64_t request =
            change_configuration(leader(), "change-" + std::to_string(index), index, default_configuration());
        ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    }
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        kill(host);
    }
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        restart(host);
        EXPECT_LE(control_state_of(host).consensus.log.size(),
                  consensus::snapshot_entry_threshold + consensus::trailing_log_entries + 8);
    }
    ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
    EXPECT_EQ(configuration_version_at(leader()), changes);
}

TEST_F(control_fixture, old_leaders_uncommitted_entries_are_replaced)
{
    const std::string old_leader = leader();
    isolate(old_leader);
    change_configuration(old_leader, "lost", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old_leader; }));
    change_and_wait(leader(), "kept", 0);
    restore_links(old_leader);
    advance(milliseconds{1000});
    EXPECT_EQ(configuration_version_at(old_leader), 1U);
    EXPECT_TRUE(control_state_of(old_leader).directory.change_answers.contains(change_id{"kept"}));
    EXPECT_FALSE(control_state_of(old_leader).directory.change_answers.contains(change_id{"lost"}));
}

} // namespace
} // namespace hickorymount::node
