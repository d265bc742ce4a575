#include "directory/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision {

/// A leader whose order to promote the server `second` was accepted by the platform. A busy server may answer
/// a probe without its term; its role in that answer is a guess and must not open the next term.
class session_promotion_fixture : public ::testing::Test
{
protected:
    session_promotion_fixture()
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.term_start_index = m_consensus.commit_index = 1;
        m_consensus.leading_since = m_now;
        m_state.is_leading = true;
        m_state.leading_since = m_now;
        server_status second;
        second.report = report_of({});
        second.last_report_at = m_now;
        m_state.servers = std::move(m_state.servers).set(backend_server_name{"second"}, second);
        primary_change change;
        change.stage = primary_change_stage::promoting;
        change.candidate = backend_server_name{"second"};
        change.next_term = 2;
        change.probe_id = 7;
        change.is_promotion_accepted = true;
        m_state.primary_changes = std::move(m_state.primary_changes).set(group_name{"orders"}, change);
        directory::group_record record;
        record.phase = directory::group_phase::promoting;
        record.term = 1;
        m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    }

    static protocol::server_report report_of(const session_token::group_position& position)
    {
        protocol::server_report report;
        report.name = backend_server_name{"second"};
        report.group = group_name{"orders"};
        report.interface = protocol::server_interface::sessions;
        report.role = protocol::server_role::primary;
        report.position = position;
        return report;
    }

    /// Returns the number of `open_term` commands proposed after the probe's answer.
    std::size_t proposed_openings_after(const session_token::group_position& position)
    {
        const message_received probe_answer{
            host_name{"entry-1"},
            protocol::probe_response{7, backend_server_name{"second"}, report_of(position)}};
        supervision_transition next =
            reduce(std::move(m_state), probe_answer, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        std::size_t count = 0;
        for (const supervision_effect& effect : next.effects) {
            const auto* proposed = std::get_if<propose_command>(&effect);
            count += proposed != nullptr && std::holds_alternative<directory::open_term>(proposed->command)
                         ? 1
                         : 0;
        }
        return count;
    }

    /// The times before which the promotions ordered at the next timer event may be sent.
    std::vector<time_point> ordered_promotions()
    {
        supervision_transition next = reduce(std::move(m_state), timer_expired{},
                                             {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        std::vector<time_point> limits;
        for (const supervision_effect& effect : next.effects) {
            if (const auto* order = std::get_if<request_promotion>(&effect)) {
                limits.push_back(order->valid_until);
            }
        }
        return limits;
    }

    time_point m_now{milliseconds{10'000}};
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
};

TEST_F(session_promotion_fixture, candidate_whose_report_has_no_term_does_not_open_the_next_term)
{
    EXPECT_EQ(proposed_openings_after({}), 0U);
    EXPECT_EQ(proposed_openings_after({2, 112}), 1U);
}

// An old primary that is named again calls itself the primary in an answer that it gave before.
TEST_F(session_promotion_fixture, answer_before_the_promotion_is_accepted_does_not_open_the_next_term)
{
    primary_change change = *m_state.primary_changes.find(group_name{"orders"});
    change.is_promotion_accepted = false;
    m_state.primary_changes = std::move(m_state.primary_changes).set(group_name{"orders"}, change);
    EXPECT_EQ(proposed_openings_after({1, 112}), 0U);
}

TEST_F(session_promotion_fixture, host_that_does_not_lead_proposes_nothing_for_a_late_answer)
{
    m_consensus.current_role = consensus::role::follower;
    EXPECT_EQ(proposed_openings_after({2, 112}), 0U);
    EXPECT_EQ(proposed_openings_after({2, 112}), 0U);
}

// Guards against ONE of review/5 and of the users' runs: a leader that was suspended ordered a promotion with
// a lower fencing token than its successor.
TEST_F(session_promotion_fixture, promotion_is_ordered_only_while_no_other_leader_can_have_been_elected)
{
    primary_change change = *m_state.primary_changes.find(group_name{"orders"});
    change.is_promotion_accepted = false;
    change.stage_entered_at = m_now + promotion_call_timeout;
    m_state.primary_changes = std::move(m_state.primary_changes).set(group_name{"orders"}, change);
    m_consensus.confirmed_round_began_at = m_now;
    m_now += 2 * promotion_call_timeout;
    EXPECT_EQ(ordered_promotions(), std::vector<time_point>{});
    m_consensus.confirmed_round_began_at = m_now;
    m_now += supervision_interval;
    const time_point limit =
        m_consensus.confirmed_round_began_at + consensus::election_timeout_min - consensus::leadership_margin;
    EXPECT_EQ(ordered_promotions(),
              std::vector<time_point>{std::min(limit, m_now + promotion_order_lifetime)});
}

/// A leader that has probed two replicas for their positions. One has answered and lacks acknowledged
/// commits; naming it as the candidate would lose these commits.
class session_collecting_fixture : public ::testing::Test
{
protected:
    static constexpr session_token::group_position acknowledged{1, 60};

    session_collecting_fixture()
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.term_start_index = m_consensus.commit_index = 1;
        m_consensus.leading_since = m_now;
        m_state.is_leading = true;
        m_state.leading_since = m_now;
        for (const char* name : {"first", "second", "third"}) {
            server_status status;
            status.report = report_of(name, {});
            status.last_report_at = m_now;
            m_state.servers = std::move(m_state.servers).set(backend_server_name{name}, status);
        }
        for (const char* name : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
            entry_status status;
            status.lease_end = m_now + milliseconds{60'000};
            status.last_request_at = m_now + milliseconds{1};
            m_state.entry_hosts =
                std::move(m_state.entry_hosts).set({host_name{name}, incarnation_id{"a"}}, status);
        }
        primary_change change;
        change.stage = primary_change_stage::collecting_positions;
        change.term = 1;
        change.probe_id = 7;
        change.stage_entered_at = change.last_request_sent_at = m_now;
        change.acknowledged = acknowledged;
        change.position_rounds = 1;
        change.positions[backend_server_name{"second"}] = report_of("second", {1, 12});
        m_state.primary_changes = std::move(m_state.primary_changes).set(group_name{"orders"}, change);
        directory::group_record record;
        record.phase = directory::group_phase::promoting;
        record.term = 1;
        record.primary = backend_server_name{"first"};
        m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    }

    static protocol::server_report report_of(const std::string& name,
                                             const session_token::group_position& position)
    {
        protocol::server_report report;
        report.name = backend_server_name{name};
        report.group = group_name{"orders"};
        report.interface = protocol::server_interface::sessions;
        report.position = position;
        return report;
    }

    std::vector<supervision_effect> apply_event(const supervision_event& event)
    {
        supervision_transition next =
            reduce(std::move(m_state), event, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        return std::move(next.effects);
    }

    /// Advances the time and returns the probed servers, each with the entry host that probes it.
    std::set<std::pair<std::string, std::string>> probes_after(milliseconds delay)
    {
        m_now += delay;
        std::set<std::pair<std::string, std::string>> probed;
        for (const supervision_effect& effect : apply_event(timer_expired{})) {
            const auto* sent = std::get_if<send_to_entry_host>(&effect);
            const auto* order =
                sent == nullptr ? nullptr : std::get_if<protocol::probe_request>(&sent->content);
            if (order != nullptr) {
                probed.emplace(order->server.value, sent->recipient.value);
            }
        }
        return probed;
    }

    /// Returns the candidate that is named after this server's answer; empty without one.
    std::string candidate_named_after(const std::string& name, const session_token::group_position& position)
    {
        const message_received probe_answer{
            host_name{"entry-1"},
            protocol::probe_response{m_probe_id, backend_server_name{name}, report_of(name, position)}};
        return named_candidate(apply_event(probe_answer));
    }

    /// The candidate that the effects name; empty without one.
    static std::string named_candidate(const std::vector<supervision_effect>& effects)
    {
        for (const supervision_effect& effect : effects) {
            const auto* proposed = std::get_if<propose_command>(&effect);
            const auto* named =
                proposed == nullptr ? nullptr : std::get_if<directory::name_candidate>(&proposed->command);
            if (named != nullptr) {
                return named->candidate.value;
            }
        }
        return "";
    }

    void mark_entry_silent(const std::string& name)
    {
        primary_change change = *m_state.primary_changes.find(group_name{"orders"});
        change.silent_entries.insert({host_name{name}, incarnation_id{"a"}});
        m_state.primary_changes = std::move(m_state.primary_changes).set(group_name{"orders"}, change);
    }

    /// Advances the time and returns the number of follow orders sent to "third".
    std::size_t follow_orders_after(milliseconds delay)
    {
        m_now += delay;
        const auto effects = apply_event(timer_expired{});
        return static_cast<std::size_t>(
            std::count_if(effects.begin(), effects.end(), [](const supervision_effect& effect) {
                const auto* sent = std::get_if<send_to_entry_host>(&effect);
                const auto* order =
                    sent == nullptr ? nullptr : std::get_if<protocol::role_change_request>(&sent->content);
                return order != nullptr && order->kind == protocol::server_role_change::follow &&
                       order->server.value == "third";
            }));
    }

    time_point m_now{milliseconds{10'000}};
    std::uint64_t m_probe_id = 7;
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
};

TEST_F(session_collecting_fixture, candidate_without_an_answer_is_probed_again_through_another_entry_host)
{
    const auto probed = probes_after(position_resend_interval);
    EXPECT_TRUE(
        std::any_of(probed.begin(), probed.end(), [](const auto& each) { return each.first == "third"; }));
    EXPECT_TRUE(
        std::none_of(probed.begin(), probed.end(), [](const auto& each) { return each.first == "second"; }));
    std::set<std::string> through;
    for (const auto& [server, host] : probed) {
        through.insert(host);
    }
    EXPECT_TRUE(through.contains("entry-1"));
    EXPECT_EQ(candidate_named_after("third", acknowledged), "third");
}

TEST_F(session_collecting_fixture, numbers_of_a_later_leadership_differ_from_those_of_an_earlier_one)
{
    m_consensus.persistent_state.term = 4;
    m_consensus.leading_since += milliseconds{1};
    apply_event(timer_expired{});
    const std::uint64_t first_number = m_state.next_number;
    m_consensus.persistent_state.term = 6;
    m_consensus.leading_since += milliseconds{1};
    apply_event(timer_expired{});
    EXPECT_GT(m_state.next_number, first_number + 1'000'000);
}

TEST_F(session_collecting_fixture,
       lost_primary_that_has_restarted_is_preferred_to_a_replica_that_lacks_commits)
{
    EXPECT_TRUE(probes_after(position_resend_interval).count({"first", "entry-1"}) == 0);
    bool is_primary_probed = false;
    for (const auto& [server, host] : probes_after(position_resend_interval)) {
        is_primary_probed = is_primary_probed || server == "first";
    }
    EXPECT_TRUE(is_primary_probed);
    EXPECT_EQ(candidate_named_after("first", acknowledged), "first");
}

TEST_F(session_collecting_fixture,
       replica_that_lacks_acknowledged_commits_is_not_named_while_another_has_not_answered)
{
    m_now += position_timeout_default;
    EXPECT_EQ(candidate_named_after("second", {1, 12}), "");
}

// Guards against LOST of review/2: a draining replica was not asked, and another one that lacks acknowledged
// commits was promoted.
TEST_F(session_collecting_fixture, draining_replica_is_asked_and_its_commits_are_not_given_up)
{
    server_status draining = *m_state.servers.find(backend_server_name{"third"});
    draining.report.is_leaving = true;
    m_state.servers = std::move(m_state.servers).set(backend_server_name{"third"}, draining);
    const auto probed = probes_after(position_resend_interval);
    EXPECT_TRUE(
        std::any_of(probed.begin(), probed.end(), [](const auto& each) { return each.first == "third"; }));
    EXPECT_EQ(candidate_named_after("second", {1, 12}), "");
    EXPECT_EQ(candidate_named_after("third", acknowledged), "");
    EXPECT_EQ(candidate_named_after("first", {1, 70}), "first");
}

// An entry host may have acknowledged commits and lost its lease before the change began, or before the
// present leader learned of it: the position that the others report is then too low.
TEST_F(session_collecting_fixture, replica_is_not_named_by_the_acknowledgements_of_some_entry_hosts)
{
    mark_entry_silent("entry-4");
    m_now += position_timeout_default;
    EXPECT_EQ(candidate_named_after("second", {1, 70}), "");
    protocol::close_term_response confirmation;
    confirmation.entry = {host_name{"entry-4"}, incarnation_id{"a"}};
    confirmation.group = group_name{"orders"};
    confirmation.term = 1;
    confirmation.acknowledged_position = {1, 68};
    EXPECT_EQ(named_candidate(apply_event(message_received{host_name{"entry-4"}, confirmation})), "second");
}

TEST_F(session_collecting_fixture,
       commits_of_a_dismissed_entry_host_count_as_unknown_until_the_primary_bounds_them)
{
    m_directory.departed =
        std::move(m_directory.departed).set(group_name{"orders"}, directory::departed_commits{{1, 5}, 2, 1});
    m_now += position_timeout_default;
    EXPECT_EQ(candidate_named_after("second", {1, 70}), "");
    m_directory.departed =
        std::move(m_directory.departed).set(group_name{"orders"}, directory::departed_commits{{1, 65}, 2, 2});
    EXPECT_EQ(candidate_named_after("second", {1, 64}), "");
    EXPECT_EQ(candidate_named_after("second", {1, 65}), "second");
}

TEST_F(session_collecting_fixture, entry_host_that_returns_its_lease_with_its_commits_counts_as_confirmed)
{
    mark_entry_silent("entry-4");
    const directory::dismiss_entry_host dismissed{
        {host_name{"entry-4"}, incarnation_id{"a"}},
        std::map<group_name, session_token::group_position>{{group_name{"orders"}, {1, 66}}}};
    m_directory.entry_hosts = std::move(m_directory.entry_hosts).set(dismissed.entry, {});
    m_directory = directory::reduce(m_directory, dismissed).state;
    apply_event(command_applied{2, dismissed, {}, {}});
    m_now += position_timeout_default;
    EXPECT_EQ(candidate_named_after("second", {1, 65}), "");
    EXPECT_EQ(candidate_named_after("second", {1, 66}), "second");
}

TEST_F(session_collecting_fixture, primary_is_asked_for_a_bound_after_an_entry_host_ended_without_a_report)
{
    m_state.primary_changes = {};
    directory::group_record record = *m_directory.groups.find(group_name{"orders"});
    record.phase = directory::group_phase::open;
    m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    server_status primary = *m_state.servers.find(backend_server_name{"first"});
    primary.report.report_interval = 10 * commit_bound_probe_interval;
    m_state.servers = std::move(m_state.servers).set(backend_server_name{"first"}, primary);
    const entry_process_id ended{host_name{"entry-9"}, incarnation_id{"a"}};
    m_directory.entry_hosts = std::move(m_directory.entry_hosts).set(ended, {});
    m_directory = directory::reduce(m_directory, directory::dismiss_entry_host{ended, std::nullopt}).state;
    ASSERT_FALSE(directory::is_complete(*m_directory.departed.find(group_name{"orders"})));
    const auto probed = probes_after(commit_bound_probe_interval);
    ASSERT_EQ(probed.size(), 1U);
    EXPECT_EQ(probed.begin()->first, "first");
    protocol::server_report answer = report_of("first", {1, 90});
    answer.role = protocol::server_role::primary;
    const std::uint64_t probe_id = m_state.commit_bound_probes.at(group_name{"orders"}).probe_id;
    std::optional<directory::bound_departed_commits> bound;
    for (const supervision_effect& effect : apply_event(message_received{
             host_name{"entry-1"}, protocol::probe_response{probe_id, answer.name, answer}})) {
        if (const auto* proposed = std::get_if<propose_command>(&effect)) {
            if (const auto* command = std::get_if<directory::bound_departed_commits>(&proposed->command)) {
                bound = *command;
            }
        }
    }
    ASSERT_TRUE(bound);
    m_directory = directory::reduce(m_directory, *bound).state;
    const directory::departed_commits& commits = *m_directory.departed.find(group_name{"orders"});
    EXPECT_TRUE(directory::is_complete(commits));
    EXPECT_EQ(commits.position, (session_token::group_position{1, 90}));
}

/// A leader whose primary "first" answers, while its commits wait for replicas. "second" has left with the
/// commits that it received last, and "third" lacks them.
class session_stall_fixture : public session_collecting_fixture
{
protected:
    session_stall_fixture()
    {
        m_state.primary_changes = {};
        server_status departed = *m_state.servers.find(backend_server_name{"second"});
        departed.report.is_leaving = departed.report.has_left = true;
        m_state.servers = std::move(m_state.servers).set(backend_server_name{"second"}, departed);
        set_phase(directory::group_phase::open);
    }

    void set_phase(directory::group_phase phase)
    {
        directory::group_record record = *m_directory.groups.find(group_name{"orders"});
        record.phase = phase;
        record.last_candidate_term = 1;
        m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    }

    /// Lets all entry hosts report waiting commits, and confirm the end of the term.
    void close_term_of_stalled_primary()
    {
        for (const char* name : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
            protocol::primary_suspicion suspicion;
            suspicion.group = group_name{"orders"};
            suspicion.term = 1;
            suspicion.server = backend_server_name{"first"};
            suspicion.are_commits_stalled = true;
            apply_event(message_received{host_name{name}, suspicion});
        }
        set_phase(directory::group_phase::closed);
        apply_event(command_applied{2, directory::close_term{group_name{"orders"}, 1}, {}, {}});
        for (const char* name : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
            protocol::close_term_response confirmation;
            confirmation.entry = {host_name{name}, incarnation_id{"a"}};
            confirmation.group = group_name{"orders"};
            confirmation.term = 1;
            confirmation.acknowledged_position = acknowledged;
            apply_event(message_received{host_name{name}, confirmation});
        }
        const primary_change* change = m_state.primary_changes.find(group_name{"orders"});
        ASSERT_NE(change, nullptr);
        ASSERT_EQ(change->stage, primary_change_stage::collecting_positions);
        m_probe_id = change->probe_id;
    }
};

// Guards against LOST of review/1: a living primary was replaced by a replica that lacks acknowledged
// commits.
TEST_F(session_stall_fixture, living_primary_is_not_replaced_by_a_replica_that_lacks_acknowledged_commits)
{
    close_term_of_stalled_primary();
    EXPECT_EQ(candidate_named_after("third", {1, 12}), "");
    EXPECT_EQ(candidate_named_after("first", {1, 64}), "first");
}

TEST_F(session_stall_fixture, living_primary_is_replaced_by_a_replica_with_all_acknowledged_commits)
{
    close_term_of_stalled_primary();
    EXPECT_EQ(candidate_named_after("third", acknowledged), "third");
}

// A replica that was paused for its position, and is not resumed, receives nothing from a primary that leads
// on without a promotion.
TEST_F(session_stall_fixture, replica_is_told_to_follow_again_until_an_entry_host_reports_success)
{
    set_phase(directory::group_phase::open);
    directory::group_record record = *m_directory.groups.find(group_name{"orders"});
    record.term_starts.push_back({1, 0});
    m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    apply_event(command_applied{2, directory::open_term{group_name{"orders"}, 1, record.primary, 0}, {}, {}});
    EXPECT_EQ(follow_orders_after(follow_order_retry_interval), 1U);
    protocol::role_change_response response;
    response.group = group_name{"orders"};
    response.server = backend_server_name{"third"};
    response.kind = protocol::server_role_change::follow;
    response.term = 1;
    apply_event(message_received{host_name{"entry-1"}, response});
    EXPECT_EQ(follow_orders_after(follow_order_retry_interval), 1U);
    response.is_done = true;
    // The late answer to an order of an earlier term says nothing about this one.
    response.term = 0;
    apply_event(message_received{host_name{"entry-1"}, response});
    EXPECT_EQ(follow_orders_after(follow_order_retry_interval), 1U);
    response.term = 1;
    apply_event(message_received{host_name{"entry-1"}, response});
    EXPECT_EQ(follow_orders_after(follow_order_retry_interval), 0U);
}

} // namespace hickorymount::supervision
