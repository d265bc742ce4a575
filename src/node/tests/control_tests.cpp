#include "consensus/reduce.h"
#include "node/tests/node_fixture.h"

namespace hickorymount::node {
namespace {

using directory::change_outcome;
using supervision::configuration_answer;

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

    configuration_answer change(const std::string& host, const std::string& id, std::uint64_t base)
    {
        const std::uint64_t request = change_configuration(host, id, base, default_configuration());
        EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }, milliseconds{8000}));
        const auto answer = operator_answer(request);
        const auto* accepted = answer ? std::get_if<configuration_answer>(&*answer) : nullptr;
        EXPECT_NE(accepted, nullptr) << "the change was not answered by a leader";
        return accepted == nullptr ? configuration_answer{} : *accepted;
    }

    std::uint64_t version_at(const std::string& host) const
    {
        return control_state_of(host).directory.configuration->version;
    }

    /// Kills the leader and waits for another one.
    void replace_leader()
    {
        const std::string old = leader();
        kill(old);
        ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old; }));
    }
};

TEST_F(control_fixture, change_accepted_is_on_a_majority_of_disks)
{
    EXPECT_EQ(change(leader(), "a", 0).outcome, change_outcome::accepted);
    advance(milliseconds{200});
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        EXPECT_EQ(version_at(host), 1U) << host;
    }
}

TEST_F(control_fixture, equal_versions_at_the_same_moment_one_wins_and_one_conflicts)
{
    const std::uint64_t one = change_configuration(leader(), "a", 0, default_configuration());
    const std::uint64_t other = change_configuration(leader(), "b", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(one) && operator_answer(other); }));
    const auto first = std::get<configuration_answer>(*operator_answer(one));
    const auto second = std::get<configuration_answer>(*operator_answer(other));
    EXPECT_EQ(first.outcome, change_outcome::accepted);
    EXPECT_EQ(second.outcome, change_outcome::conflict);
    EXPECT_EQ(second.version, 1U);
    EXPECT_EQ(version_at(leader()), 1U);
}

TEST_F(control_fixture, resend_after_a_leader_change_gets_the_first_answer)
{
    change(leader(), "a", 0);
    change(leader(), "b", 1);
    replace_leader();
    const configuration_answer again = change(leader(), "a", 0);
    EXPECT_EQ(again.outcome, change_outcome::accepted);
    EXPECT_EQ(again.version, 1U);
    EXPECT_EQ(version_at(leader()), 2U);
}

TEST_F(control_fixture, resend_of_a_conflict_stays_a_conflict)
{
    change(leader(), "a", 0);
    EXPECT_EQ(change(leader(), "b", 0).outcome, change_outcome::conflict);
    replace_leader();
    EXPECT_EQ(change(leader(), "b", 0).outcome, change_outcome::conflict);
    EXPECT_EQ(change(leader(), "c", 1).outcome, change_outcome::accepted);
}

TEST_F(control_fixture, leader_killed_before_its_sync_loses_only_what_was_not_answered)
{
    change(leader(), "a", 0);
    const std::string old = leader();
    block_syncs(follower());
    block_syncs(other_follower());
    block_syncs(old);
    const std::uint64_t request = change_configuration(old, "b", 1, default_configuration());
    advance(milliseconds{100});
    EXPECT_FALSE(operator_answer(request).has_value());
    kill(old);
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        unblock_syncs(host);
    }
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old; }));
    EXPECT_GE(version_at(leader()), 1U);
    restart(old);
    advance(milliseconds{1000});
    EXPECT_EQ(version_at(old), version_at(leader()));
}

TEST_F(control_fixture, leader_killed_during_its_sync_keeps_a_change_that_followers_hold)
{
    const std::string old = leader();
    block_syncs(old);
    const std::uint64_t request = change_configuration(old, "a", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    kill(old);
    unblock_syncs(old);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old; }));
    EXPECT_EQ(version_at(leader()), 1U);
    restart(old);
    EXPECT_TRUE(advance_until([&] { return version_at(old) == 1; }));
}

TEST_F(control_fixture, leader_killed_after_its_sync_keeps_the_change)
{
    change(leader(), "a", 0);
    replace_leader();
    EXPECT_EQ(version_at(leader()), 1U);
}

TEST_F(control_fixture, no_answer_without_a_majority_of_syncs)
{
    block_syncs(follower());
    block_syncs(other_follower());
    const std::uint64_t request = change_configuration(leader(), "a", 0, default_configuration());
    advance(milliseconds{2000});
    const auto answer = operator_answer(request);
    EXPECT_TRUE(!answer || std::holds_alternative<supervision::refused_answer>(*answer));
}

TEST_F(control_fixture, leader_does_not_count_itself_before_its_own_sync)
{
    const std::string leading = leader();
    block_syncs(leading);
    isolate(other_follower());
    const std::uint64_t request = change_configuration(leading, "a", 0, default_configuration());
    advance(milliseconds{400});
    EXPECT_FALSE(operator_answer(request).has_value());
    unblock_syncs(leading);
    EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
}

TEST_F(control_fixture, follower_does_not_confirm_entries_before_its_sync)
{
    const std::string leading = leader();
    block_syncs(follower());
    isolate(other_follower());
    const std::uint64_t request = change_configuration(leading, "a", 0, default_configuration());
    advance(milliseconds{400});
    EXPECT_FALSE(operator_answer(request).has_value());
    unblock_syncs(follower());
    EXPECT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
}

TEST_F(control_fixture, lost_disk_under_its_old_name_has_no_vote)
{
    change(leader(), "a", 0);
    const std::string lost = follower();
    const std::string healthy = other_follower();
    const std::string old = leader();
    kill(lost);
    advance(milliseconds{100});
    wipe_disk(lost);
    isolate(old);
    isolate(healthy);
    restart(lost);
    reconnect(lost, healthy);
    // The two that see one another are the survivor and the one that lost its vote: no majority.
    advance(milliseconds{5000});
    EXPECT_NE(control_state_of(lost).consensus.current_role, consensus::role::leader);
    EXPECT_NE(control_state_of(healthy).consensus.current_role, consensus::role::leader);
}

TEST_F(control_fixture, lost_disk_is_replaced_as_a_learner_then_as_a_voter)
{
    change(leader(), "a", 0);
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
    EXPECT_EQ(version_at(lost), 1U);
}

TEST_F(control_fixture, fourth_host_stays_a_spare_and_a_fifth_makes_both_voters)
{
    const auto members = [this] { return control_state_of(leader()).consensus.members; };
    add_control_host("control-4");
    ASSERT_TRUE(advance_until([&] { return members().learners.size() == 1; }));
    advance(milliseconds{6000});
    EXPECT_EQ(members().voters.size(), 3U);
    add_control_host("control-5");
    EXPECT_TRUE(advance_until([&] { return members().voters.size() == 5 && members().learners.empty(); }));
}

TEST_F(control_fixture, spare_takes_the_place_of_a_voter_that_is_lost)
{
    const auto members = [this] { return control_state_of(leader()).consensus.members; };
    add_control_host("control-4");
    ASSERT_TRUE(advance_until([&] { return members().learners.size() == 1; }));
    const std::string lost = follower();
    const consensus::member gone = control_state_of(lost).consensus.self;
    kill(lost);
    EXPECT_TRUE(advance_until(
        [&] {
            const auto& voters = members().voters;
            return voters.size() == 3 && std::find(voters.begin(), voters.end(), gone) == voters.end();
        },
        milliseconds{10'000}));
}

TEST_F(control_fixture, one_disk_repaired_and_then_another_host_lost_keeps_the_state)
{
    change(leader(), "a", 0);
    const std::string lost = follower();
    kill(lost);
    wipe_disk(lost);
    restart(lost);
    ASSERT_TRUE(advance_until([&] {
        const auto& self = control_state_of(lost).consensus.self;
        const auto& voters = control_state_of(leader()).consensus.members.voters;
        return std::find(voters.begin(), voters.end(), self) != voters.end();
    }));
    const std::string second = leader();
    kill(second);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != second; }));
    EXPECT_EQ(version_at(leader()), 1U);
    EXPECT_EQ(change(leader(), "b", 1).outcome, change_outcome::accepted);
}

TEST_F(control_fixture, host_lost_before_the_repaired_one_holds_the_log_stops_changes_but_loses_none)
{
    change(leader(), "a", 0);
    const std::string lost = follower();
    const std::string survivor = other_follower();
    const std::string second = leader();
    kill(lost);
    advance(milliseconds{100});
    wipe_disk(lost);
    restart(lost);
    kill(second);
    advance(milliseconds{3000});
    EXPECT_NE(control_state_of(survivor).consensus.current_role, consensus::role::leader);
    restart(second);
    ASSERT_TRUE(advance_until([&] { return !leader().empty(); }));
    EXPECT_EQ(version_at(leader()), 1U);
}

TEST_F(control_fixture, host_cut_off_for_long_neither_wins_nor_disturbs_when_it_returns)
{
    const std::string away = follower();
    isolate(away);
    for (int at = 0; at < 20; ++at) {
        change(leader(), "change-" + std::to_string(at), static_cast<std::uint64_t>(at));
    }
    advance(milliseconds{20'000});
    const std::string before = leader();
    const consensus::log_term term = control_state_of(before).consensus.hard.term;
    EXPECT_EQ(version_at(away), 0U);
    restore_links(away);
    advance(milliseconds{2000});
    EXPECT_EQ(leader(), before);
    EXPECT_EQ(control_state_of(before).consensus.hard.term, term);
    EXPECT_EQ(version_at(away), 20U);
}

TEST_F(control_fixture, leader_cut_off_steps_down_and_refuses)
{
    const std::string old = leader();
    isolate(old);
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old; }));
    change(leader(), "a", 0);
    advance(milliseconds{1000});
    EXPECT_NE(control_state_of(old).consensus.current_role, consensus::role::leader);
    const std::uint64_t request = change_configuration(old, "b", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    EXPECT_TRUE(std::holds_alternative<supervision::refused_answer>(*operator_answer(request)));
}

TEST_F(control_fixture, configuration_is_not_shown_by_a_leader_that_a_majority_does_not_confirm)
{
    const std::string old = leader();
    isolate(old);
    send_operator_request(old, supervision::configuration_shown{901});
    advance(milliseconds{400});
    const auto answer = operator_answer(901);
    EXPECT_TRUE(!answer || std::holds_alternative<supervision::refused_answer>(*answer));
}

TEST_F(control_fixture, restart_of_all_after_many_changes_comes_back_to_the_last)
{
    constexpr std::uint64_t changes = 1000;
    for (std::uint64_t at = 0; at < changes; ++at) {
        const std::uint64_t request =
            change_configuration(leader(), "change-" + std::to_string(at), at, default_configuration());
        ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    }
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        kill(host);
    }
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        restart(host);
        EXPECT_LE(control_state_of(host).consensus.log.size(),
                  consensus::snapshot_entries + consensus::kept_behind_snapshot + 8);
    }
    ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
    EXPECT_EQ(version_at(leader()), changes);
}

TEST_F(control_fixture, old_leaders_uncommitted_entries_are_replaced)
{
    const std::string old = leader();
    isolate(old);
    change_configuration(old, "lost", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return !leader().empty() && leader() != old; }));
    change(leader(), "kept", 0);
    restore_links(old);
    advance(milliseconds{1000});
    EXPECT_EQ(version_at(old), 1U);
    EXPECT_TRUE(control_state_of(old).directory.changes.contains(change_id{"kept"}));
    EXPECT_FALSE(control_state_of(old).directory.changes.contains(change_id{"lost"}));
}

} // namespace
} // namespace hickorymount::node
