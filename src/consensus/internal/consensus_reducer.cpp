#include "consensus/internal/consensus_reducer.h"

#include "consensus/internal/membership_planner.h"
#include "consensus/internal/quorum.h"
#include "consensus/reduce.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorymount::consensus::detail {

namespace {

bool contains(const std::vector<member>& members, const member& host)
{
    return std::find(members.begin(), members.end(), host) != members.end();
}

/// Counts only configuration sources; the other contents of an entry are small.
std::size_t approximate_size_bytes(const log_entry& entry)
{
    const auto* command = std::get_if<directory::command>(&*entry.content);
    const auto* replacement =
        command == nullptr ? nullptr : std::get_if<directory::replace_configuration>(command);
    return replacement == nullptr ? 0 : replacement->content.source_document.size();
}

std::vector<member> remove_by_name(std::vector<member> members, const host_name& name)
{
    const auto has_this_name = [&](const member& each) { return each.name == name; };
    members.erase(std::remove_if(members.begin(), members.end(), has_this_name), members.end());
    return members;
}

/// True when a follower's response says all that an earlier one to the same leader does.
bool is_newer_response(const message& content, const message& earlier)
{
    const auto* response = std::get_if<append_entries_response>(&content);
    const auto* before = std::get_if<append_entries_response>(&earlier);
    return response != nullptr && before != nullptr && response->is_accepted && before->is_accepted &&
           response->term == before->term && response->match_index >= before->match_index &&
           response->round >= before->round;
}

} // namespace

consensus_reducer::consensus_reducer(consensus_state state, time_point now)
    : m_state(std::move(state)), m_now(now)
{
}

void consensus_reducer::apply(const started& event)
{
    m_state = consensus_state{};
    m_state.self = event.self;
    m_state.contacts = event.contacts;
    m_state.persistent_state = event.stored.persistent_state;
    m_state.latest_snapshot = event.stored.latest_snapshot;
    m_state.random.seed(event.seed);
    m_state.commit_index = m_state.latest_snapshot->last_index;
    for (const log_entry& entry : event.stored.entries) {
        m_state.log = std::move(m_state.log).set(entry.index, entry);
    }
    m_state.durable_index = last_index();
    recompute_membership();
    reset_election_timer();
    // A running leader sends a heartbeat before this timeout ends, and a pre-vote does not disrupt it.
    m_state.election_at -= startup_election_advance;
    m_state.join_at = m_now + join_retry_interval;
    if (m_state.latest_snapshot->last_index > 0) {
        m_effects.emplace_back(restore_directory{m_state.latest_snapshot});
    }
}

void consensus_reducer::apply(const cluster_formation_requested& event)
{
    const bool is_empty = last_index() == 0 && m_state.persistent_state == hard_state{};
    if (!is_empty || !contains(event.members.voters, m_state.self)) {
        return;
    }
    snapshot first;
    first.last_index = 1;
    first.last_term = 1;
    first.members = event.members;
    m_state.persistent_state.term = 1;
    m_state.latest_snapshot = shared_value(std::move(first));
    m_state.commit_index = 1;
    recompute_membership();
    persist_latest_snapshot();
    m_effects.emplace_back(restore_directory{m_state.latest_snapshot});
    reset_election_timer();
}

void consensus_reducer::apply(const message_received& event)
{
    std::visit([&](const auto& content) { handle(event.sender, content); }, event.content);
}

void consensus_reducer::apply(const entries_proposed& event)
{
    if (m_state.current_role != role::leader) {
        return;
    }
    for (const entry_content& content : event.contents) {
        append_entry(content);
    }
    persist();
    // A follower with a response outstanding receives these entries in one batch with its next message.
    for (auto& [name, follower] : m_state.followers) {
        if (!follower.is_awaiting_response) {
            send_entries(follower, false);
        }
    }
}

void consensus_reducer::apply(const sync_completed& event)
{
    while (!m_state.pending_syncs.empty() && m_state.pending_syncs.front().id <= event.id) {
        m_state.durable_index = std::min(m_state.pending_syncs.front().last_index, last_index());
        m_state.pending_syncs.erase(m_state.pending_syncs.begin());
    }
    const auto first_waiting =
        std::find_if(m_state.deferred_messages.begin(), m_state.deferred_messages.end(),
                     [&](const deferred_message& each) { return each.after_sync > event.id; });
    for (auto each = m_state.deferred_messages.begin(); each != first_waiting; ++each) {
        send_now(each->recipient, std::move(each->content));
    }
    m_state.deferred_messages.erase(m_state.deferred_messages.begin(), first_waiting);
    advance_commit();
}

void consensus_reducer::apply(const timer_expired& /*event*/)
{
    if (m_state.current_role == role::leader) {
        check_quorum();
        step_down_if_replaced();
        if (m_state.current_role == role::leader && m_now >= m_state.heartbeat_at) {
            propose_membership_change();
            start_heartbeat_round();
        }
        return;
    }
    if (is_voter(m_state.self) && m_now >= m_state.election_at) {
        start_election(true);
    }
    if (m_state.is_leaving) {
        m_state.join_at = m_now + join_retry_interval;
        if (is_voter(m_state.self) && m_now >= m_state.leave_at) {
            send_leave_requests();
        }
        return;
    }
    const bool should_request_admission = !is_voter(m_state.self) || m_state.is_excluded;
    if (should_request_admission && m_now >= m_state.join_at) {
        send_join_requests();
    }
}

void consensus_reducer::apply(const departure_requested& /*event*/)
{
    m_state.is_leaving = true;
    if (m_state.current_role == role::leader) {
        propose_membership_change();
        start_heartbeat_round();
    } else if (is_voter(m_state.self)) {
        send_leave_requests();
    }
}

/// Asks every voter, since the leader may have just changed.
void consensus_reducer::send_leave_requests()
{
    m_state.leave_at = m_now + leave_retry_interval;
    for (const member& voter : all_voters(m_state.members)) {
        if (voter != m_state.self) {
            send_now(voter.name, leave_request{m_state.self});
        }
    }
}

void consensus_reducer::send_join_requests()
{
    m_state.join_at = m_now + join_retry_interval;
    for (const host_name& contact : m_state.contacts) {
        send_now(contact, join_request{m_state.self});
    }
}

void consensus_reducer::apply(const compaction_requested& event)
{
    const bool has_uncommitted_membership = m_state.membership_index > m_state.commit_index;
    if (has_uncommitted_membership || m_state.commit_index <= m_state.latest_snapshot->last_index) {
        return;
    }
    snapshot next;
    next.last_index = m_state.commit_index;
    next.last_term = term_at(m_state.commit_index);
    next.members = m_state.members;
    next.directory = event.directory;
    m_state.latest_snapshot = shared_value(std::move(next));
    drop_entries_up_to(
        m_state.commit_index > event.retained_entries ? m_state.commit_index - event.retained_entries : 0);
    persist_latest_snapshot();
}

void consensus_reducer::apply(const contacts_changed& event)
{
    add_contacts(event.contacts);
}

transition consensus_reducer::finish()
{
    persist();
    const time_point wake = next_timer_at(m_state);
    return {std::move(m_state), std::move(m_effects), wake};
}

/// Grants a vote by term and log alone. The membership that this host knows may be older than the
/// candidate's, which counts only the voters of its own (Ongaro's dissertation, section 4.2.2).
void consensus_reducer::handle(const host_name& from, const vote_request& request)
{
    if (m_state.members.voters.empty()) {
        return;
    }
    const bool is_disruptive = heard_leader_recently() && request.term > m_state.persistent_state.term;
    const bool is_outdated_stranger =
        !is_voter(request.candidate) && (is_disruptive || !is_candidate_log_up_to_date(request));
    if (is_outdated_stranger) {
        send_hint(from);
        return;
    }
    if (is_disruptive) {
        return;
    }
    if (request.is_pre_vote) {
        const bool granted =
            request.term > m_state.persistent_state.term && is_candidate_log_up_to_date(request);
        send_after_sync(from, vote_response{true, request.term, m_state.self, granted});
        return;
    }
    if (request.term > m_state.persistent_state.term) {
        adopt_term(request.term);
    }
    const bool can_vote_for_candidate = !m_state.persistent_state.voted_for ||
                                        *m_state.persistent_state.voted_for == request.candidate.identity;
    const bool granted = request.term == m_state.persistent_state.term && can_vote_for_candidate &&
                         is_candidate_log_up_to_date(request);
    if (granted && !m_state.persistent_state.voted_for) {
        m_state.persistent_state.voted_for = request.candidate.identity;
        m_hard_state_changed = true;
        reset_election_timer();
    }
    send_after_sync(from, vote_response{false, m_state.persistent_state.term, m_state.self, granted});
}

void consensus_reducer::handle(const host_name& /*from*/, const vote_response& answer)
{
    if (!answer.is_pre_vote && answer.term > m_state.persistent_state.term) {
        adopt_term(answer.term);
        return;
    }
    const role expected_role = answer.is_pre_vote ? role::pre_candidate : role::candidate;
    const log_term requested_term =
        answer.is_pre_vote ? m_state.persistent_state.term + 1 : m_state.persistent_state.term;
    if (m_state.current_role != expected_role || answer.term != requested_term || !answer.is_granted ||
        !is_voter(answer.voter)) {
        return;
    }
    if (!contains(m_state.votes, answer.voter)) {
        m_state.votes.push_back(answer.voter);
    }
    if (!has_quorum_of_votes()) {
        return;
    }
    if (answer.is_pre_vote) {
        start_election(false);
    } else {
        become_leader();
    }
}

void consensus_reducer::handle(const host_name& from, const append_entries_request& request)
{
    if (!accept_leader(request.leader, request.term)) {
        send_after_sync(from, append_entries_response{m_state.persistent_state.term, m_state.self, false, 0,
                                                      request.round});
        return;
    }
    const bool is_behind_snapshot = request.previous_index < m_state.latest_snapshot->last_index;
    const bool matches = is_behind_snapshot || (request.previous_index <= last_index() &&
                                                term_at(request.previous_index) == request.previous_term);
    if (!matches) {
        const log_index match_hint = std::min(last_index(), request.previous_index - 1);
        send_after_sync(from, append_entries_response{m_state.persistent_state.term, m_state.self, false,
                                                      match_hint, request.round});
        return;
    }
    const log_index match = append_received_entries(request);
    persist();
    commit_to(std::min(request.commit_index, match));
    send_after_sync(from, append_entries_response{m_state.persistent_state.term, m_state.self, true, match,
                                                  request.round});
}

void consensus_reducer::handle(const host_name& /*from*/, const append_entries_response& answer)
{
    if (answer.term > m_state.persistent_state.term) {
        adopt_term(answer.term);
        return;
    }
    const auto found = m_state.followers.find(answer.follower.name);
    const bool is_known = found != m_state.followers.end() && found->second.peer == answer.follower;
    if (m_state.current_role != role::leader || answer.term != m_state.persistent_state.term || !is_known) {
        return;
    }
    follower_progress& follower = found->second;
    follower.last_response_at = m_now;
    follower.acknowledged_round = std::max(follower.acknowledged_round, answer.round);
    follower.is_awaiting_response = false;
    if (answer.is_accepted) {
        follower.match_index = std::max(follower.match_index, answer.match_index);
        follower.next_index = std::max(follower.next_index, follower.match_index + 1);
    } else {
        follower.next_index =
            std::max(follower.match_index + 1, std::min(answer.match_index + 1, follower.next_index));
    }
    advance_confirmed_round();
    advance_commit();
    const bool is_joint_committed =
        m_state.members.outgoing_voters && m_state.membership_index <= m_state.commit_index;
    if (is_joint_committed) {
        // The outgoing voters may include a host that is lost, so that the others can't do without one more.
        propose_membership_change();
        start_heartbeat_round();
        return;
    }
    if (follower.next_index <= last_index()) {
        send_entries(follower, false);
    }
}

void consensus_reducer::handle(const host_name& from, const install_snapshot_request& request)
{
    if (!accept_leader(request.leader, request.term)) {
        send_after_sync(from, append_entries_response{m_state.persistent_state.term, m_state.self, false, 0,
                                                      request.round});
        return;
    }
    const snapshot& content = *request.content;
    if (content.last_index > m_state.commit_index) {
        const bool contains_snapshot_end = term_at(content.last_index) == content.last_term;
        m_state.latest_snapshot = request.content;
        m_state.log = contains_snapshot_end ? std::move(m_state.log) : shared_map<log_index, log_entry>{};
        if (!contains_snapshot_end) {
            // The entries of the dropped log count neither as durable nor as being made so.
            limit_durable_index(content.last_index);
        }
        m_state.commit_index = content.last_index;
        m_effects.emplace_back(restore_directory{m_state.latest_snapshot});
        drop_entries_up_to(content.last_index);
        recompute_membership();
        persist_latest_snapshot();
    }
    send_after_sync(from, append_entries_response{m_state.persistent_state.term, m_state.self, true,
                                                  content.last_index, request.round});
}

void consensus_reducer::handle(const host_name& from, const join_request& request)
{
    const bool has_uncommitted_membership = m_state.membership_index > m_state.commit_index;
    if (m_state.current_role != role::leader) {
        send_hint(from);
        return;
    }
    const bool is_changing = has_uncommitted_membership || m_state.members.outgoing_voters;
    if (is_changing || request.joining.name != from || is_member(request.joining)) {
        return;
    }
    membership next = m_state.members;
    next.learners = remove_by_name(std::move(next.learners), from);
    next.learners.push_back(request.joining);
    append_entry(next);
    start_heartbeat_round();
}

void consensus_reducer::handle(const host_name& /*from*/, const member_hint& hint)
{
    if (m_state.current_role == role::leader) {
        return;
    }
    m_state.is_excluded = is_voter(m_state.self);
    add_contacts(hint.voters);
}

void consensus_reducer::handle(const host_name& from, const leave_request& request)
{
    if (m_state.current_role != role::leader || request.leaving.name != from) {
        return;
    }
    if (!is_voter(request.leaving)) {
        // The host gets no entries any more; the hint tells it that its place is taken.
        if (m_state.membership_index <= m_state.commit_index) {
            send_hint(from);
        }
        return;
    }
    m_state.leave_requested_at[request.leaving] = m_now;
    propose_membership_change();
    start_heartbeat_round();
}

/// Puts new contacts first and drops the oldest ones beyond `max_contacts`.
void consensus_reducer::add_contacts(const std::vector<host_name>& hosts)
{
    auto& known = m_state.contacts;
    for (const host_name& host : hosts) {
        if (host != m_state.self.name && std::find(known.begin(), known.end(), host) == known.end()) {
            known.insert(known.begin(), host);
        }
    }
    known.resize(std::min(known.size(), max_contacts));
}

void consensus_reducer::send_hint(const host_name& to)
{
    member_hint hint;
    for (const member& voter : m_state.members.voters) {
        hint.voters.push_back(voter.name);
    }
    if (!hint.voters.empty()) {
        send_now(to, std::move(hint));
    }
}

void consensus_reducer::start_election(bool is_pre_vote)
{
    reset_election_timer();
    m_state.leader.reset();
    m_state.current_role = is_pre_vote ? role::pre_candidate : role::candidate;
    m_state.votes = {m_state.self};
    if (!is_pre_vote) {
        ++m_state.persistent_state.term;
        m_state.persistent_state.voted_for = m_state.self.identity;
        m_hard_state_changed = true;
        persist();
    }
    const log_term requested_term =
        is_pre_vote ? m_state.persistent_state.term + 1 : m_state.persistent_state.term;
    const vote_request request{is_pre_vote, requested_term, m_state.self, last_index(),
                               term_at(last_index())};
    for (const member& voter : all_voters(m_state.members)) {
        if (voter != m_state.self) {
            send_after_sync(voter.name, request);
        }
    }
    if (!has_quorum_of_votes()) {
        return;
    }
    if (is_pre_vote) {
        start_election(false);
    } else {
        become_leader();
    }
}

void consensus_reducer::become_leader()
{
    m_state.current_role = role::leader;
    m_state.leader = m_state.self.name;
    m_state.leading_since = m_now;
    m_state.confirmed_heartbeat_round = m_state.heartbeat_round;
    m_state.confirmed_round_began_at = time_point{};
    m_state.round_began_at.clear();
    m_state.followers.clear();
    set_membership(m_state.members, m_state.membership_index);
    m_state.term_start_index = last_index() + 1;
    append_entry(no_operation{});
    start_heartbeat_round();
}

void consensus_reducer::step_down()
{
    m_state.current_role = role::follower;
    m_state.votes.clear();
    m_state.followers.clear();
    m_state.leave_requested_at.clear();
    m_state.leader.reset();
    reset_election_timer();
}

void consensus_reducer::adopt_term(log_term term)
{
    m_state.persistent_state = {term, std::nullopt};
    m_hard_state_changed = true;
    step_down();
}

bool consensus_reducer::accept_leader(const member& leader, log_term term)
{
    if (term < m_state.persistent_state.term) {
        return false;
    }
    if (term > m_state.persistent_state.term) {
        adopt_term(term);
    }
    if (m_state.current_role != role::follower) {
        step_down();
    }
    m_state.leader = leader.name;
    m_state.last_leader_contact = m_now;
    m_state.is_excluded = false;
    if (is_member(m_state.self)) {
        m_state.join_at = m_now + join_retry_interval;
    }
    reset_election_timer();
    return true;
}

void consensus_reducer::check_quorum()
{
    const auto has_responded = [this](const member& voter) {
        const follower_progress* follower = find_follower(voter);
        return voter == m_state.self ||
               (follower != nullptr && m_now - follower->last_response_at <= election_timeout_max);
    };
    if (!is_quorum(m_state.members, has_responded)) {
        step_down();
    }
}

/// A leader that is about to stop commits the membership without itself, and then leads no longer.
void consensus_reducer::step_down_if_replaced()
{
    const bool is_replaced = !is_voter(m_state.self) && m_state.membership_index <= m_state.commit_index;
    if (m_state.current_role == role::leader && is_replaced) {
        step_down();
    }
}

void consensus_reducer::propose_membership_change()
{
    if (m_state.membership_index > m_state.commit_index || !is_ready_leader(m_state)) {
        return;
    }
    std::vector<member_status> statuses{{m_state.self, true, milliseconds{0}, m_state.is_leaving}};
    for (const auto& [name, follower] : m_state.followers) {
        const auto leaving = m_state.leave_requested_at.find(follower.peer);
        const bool is_leaving =
            leaving != m_state.leave_requested_at.end() && m_now - leaving->second <= leave_request_lifetime;
        statuses.push_back(
            {follower.peer, is_caught_up(follower), m_now - follower.last_response_at, is_leaving});
    }
    if (const auto next = plan_membership(m_state.members, statuses)) {
        append_entry(*next);
    }
}

bool consensus_reducer::is_caught_up(const follower_progress& follower) const
{
    return follower.match_index >= m_state.commit_index &&
           m_now - follower.last_response_at <= election_timeout_max;
}

void consensus_reducer::append_entry(const entry_content& content)
{
    const log_entry entry{last_index() + 1, m_state.persistent_state.term, shared_value(content)};
    m_state.log = std::move(m_state.log).set(entry.index, entry);
    m_changed_from = m_changed_from == 0 ? entry.index : std::min(m_changed_from, entry.index);
    if (const auto* members = std::get_if<membership>(&content)) {
        set_membership(*members, entry.index);
    }
}

log_index consensus_reducer::append_received_entries(const append_entries_request& request)
{
    log_index match = std::max(request.previous_index, m_state.latest_snapshot->last_index);
    for (const log_entry& entry : request.entries) {
        if (entry.index <= m_state.commit_index) {
            match = std::max(match, entry.index);
            continue;
        }
        if (entry.index <= last_index() && term_at(entry.index) != entry.term) {
            truncate_from(entry.index);
        }
        if (entry.index > last_index()) {
            m_state.log = std::move(m_state.log).set(entry.index, entry);
            m_changed_from = m_changed_from == 0 ? entry.index : std::min(m_changed_from, entry.index);
            if (const auto* members = std::get_if<membership>(&*entry.content)) {
                set_membership(*members, entry.index);
            }
        }
        match = std::max(match, entry.index);
    }
    return match;
}

void consensus_reducer::truncate_from(log_index index)
{
    for (log_index last = last_index(); last >= index; --last) {
        m_state.log = std::move(m_state.log).erase(last);
    }
    limit_durable_index(index - 1);
    m_changed_from = m_changed_from == 0 ? index : std::min(m_changed_from, index);
    if (m_state.membership_index >= index) {
        recompute_membership();
    }
}

void consensus_reducer::limit_durable_index(log_index last)
{
    m_state.durable_index = std::min(m_state.durable_index, last);
    for (pending_sync& each : m_state.pending_syncs) {
        each.last_index = std::min(each.last_index, last);
    }
}

void consensus_reducer::set_membership(const membership& members, log_index index)
{
    m_state.members = members;
    m_state.membership_index = index;
    if (m_state.current_role != role::leader) {
        return;
    }
    std::map<host_name, follower_progress> followers;
    const auto add_follower = [&](const member& host) {
        if (host == m_state.self) {
            return;
        }
        follower_progress added;
        added.peer = host;
        added.next_index = last_index() + 1;
        added.last_response_at = m_now;
        const follower_progress* known = find_follower(host);
        followers.insert_or_assign(host.name, known == nullptr ? added : *known);
    };
    // The newest identity of a host with a lost data folder comes last and gets the messages to its name.
    if (members.outgoing_voters) {
        std::for_each(members.outgoing_voters->begin(), members.outgoing_voters->end(), add_follower);
    }
    std::for_each(members.voters.begin(), members.voters.end(), add_follower);
    std::for_each(members.learners.begin(), members.learners.end(), add_follower);
    m_state.followers = std::move(followers);
}

void consensus_reducer::recompute_membership()
{
    membership members = m_state.latest_snapshot->members;
    log_index index = m_state.latest_snapshot->last_index;
    for (const auto& [at, entry] : m_state.log) {
        if (const auto* found = std::get_if<membership>(&*entry.content); found != nullptr && at > index) {
            members = *found;
            index = at;
        }
    }
    set_membership(members, index);
}

void consensus_reducer::drop_entries_up_to(log_index index)
{
    while (!m_state.log.empty() && m_state.log.begin()->first <= index) {
        m_state.log = std::move(m_state.log).erase(log_index{m_state.log.begin()->first});
    }
}

void consensus_reducer::persist_latest_snapshot()
{
    const sync_id id = ++m_state.last_sync;
    m_state.pending_syncs.push_back({id, last_index()});
    std::vector<log_entry> entries;
    for (const auto& [index, entry] : m_state.log) {
        entries.push_back(entry);
    }
    m_effects.emplace_back(
        persist_snapshot{id, m_state.persistent_state, m_state.latest_snapshot, std::move(entries)});
    m_hard_state_changed = false;
    m_changed_from = 0;
}

void consensus_reducer::start_heartbeat_round()
{
    m_state.heartbeat_at = m_now + heartbeat_interval;
    ++m_state.heartbeat_round;
    m_state.round_began_at[m_state.heartbeat_round] = m_now;
    persist();
    for (auto& [name, follower] : m_state.followers) {
        send_entries(follower, true);
    }
    advance_confirmed_round();
    advance_commit();
}

void consensus_reducer::send_entries(follower_progress& follower, bool is_heartbeat)
{
    const bool needs_snapshot = follower.next_index <= m_state.latest_snapshot->last_index &&
                                !m_state.log.contains(follower.next_index);
    if (needs_snapshot && m_now - follower.snapshot_sent_at >= snapshot_resend_interval) {
        send_snapshot(follower);
        return;
    }
    if (needs_snapshot && !is_heartbeat) {
        return;
    }
    const log_index previous = needs_snapshot ? m_state.latest_snapshot->last_index : follower.next_index - 1;
    append_entries_request request{
        m_state.persistent_state.term, m_state.self,           previous, term_at(previous), {},
        m_state.commit_index,          m_state.heartbeat_round};
    std::size_t bytes = 0;
    for (auto each = m_state.log.lower_bound(follower.next_index);
         !needs_snapshot && each != m_state.log.end() && request.entries.size() < max_entries_per_message &&
         bytes < max_bytes_per_message;
         ++each) {
        request.entries.push_back(each->second);
        bytes += approximate_size_bytes(each->second);
    }
    if (request.entries.empty() && !is_heartbeat) {
        return;
    }
    if (!request.entries.empty()) {
        // Assumes delivery; a follower without these entries rejects the next request and returns the index
        // it needs.
        follower.next_index = request.entries.back().index + 1;
    }
    follower.is_awaiting_response = true;
    send_now(follower.peer.name, std::move(request));
}

void consensus_reducer::send_snapshot(follower_progress& follower)
{
    follower.is_awaiting_response = true;
    follower.snapshot_sent_at = m_now;
    send_now(follower.peer.name, install_snapshot_request{m_state.persistent_state.term, m_state.self,
                                                          m_state.latest_snapshot, m_state.heartbeat_round});
}

void consensus_reducer::send_now(const host_name& to, message content)
{
    m_effects.emplace_back(send_message{to, std::move(content)});
}

void consensus_reducer::send_after_sync(const host_name& to, message content)
{
    persist();
    if (m_state.pending_syncs.empty()) {
        send_now(to, std::move(content));
        return;
    }
    // While a disk refuses writes, each heartbeat is answered anew; only the last answer of a kind is of use.
    const bool replaces_last = !m_state.deferred_messages.empty() &&
                               is_newer_response(content, m_state.deferred_messages.back().content) &&
                               m_state.deferred_messages.back().recipient == to &&
                               m_state.deferred_messages.back().after_sync == m_state.last_sync;
    if (replaces_last) {
        m_state.deferred_messages.back().content = std::move(content);
        return;
    }
    m_state.deferred_messages.push_back({m_state.last_sync, to, std::move(content)});
}

void consensus_reducer::persist()
{
    if (!m_hard_state_changed && m_changed_from == 0) {
        return;
    }
    persist_log write;
    write.id = ++m_state.last_sync;
    write.persistent_state = m_state.persistent_state;
    write.truncate_from = m_changed_from == 0 ? last_index() + 1 : m_changed_from;
    for (auto each = m_state.log.lower_bound(write.truncate_from); each != m_state.log.end(); ++each) {
        write.entries.push_back(each->second);
    }
    m_state.pending_syncs.push_back({write.id, last_index()});
    m_effects.emplace_back(std::move(write));
    m_hard_state_changed = false;
    m_changed_from = 0;
}

void consensus_reducer::advance_commit()
{
    if (m_state.current_role != role::leader) {
        return;
    }
    const log_index majority_index = value_of_quorum(m_state.members, [this](const member& voter) {
        const follower_progress* follower = find_follower(voter);
        return voter == m_state.self ? m_state.durable_index
                                     : (follower == nullptr ? log_index{0} : follower->match_index);
    });
    if (majority_index > m_state.commit_index && term_at(majority_index) == m_state.persistent_state.term) {
        commit_to(majority_index);
    }
}

void consensus_reducer::commit_to(log_index index)
{
    while (m_state.commit_index < index) {
        ++m_state.commit_index;
        m_effects.emplace_back(apply_entry{*m_state.log.find(m_state.commit_index)});
    }
}

void consensus_reducer::advance_confirmed_round()
{
    const round_number confirmed = value_of_quorum(m_state.members, [this](const member& voter) {
        const follower_progress* follower = find_follower(voter);
        return voter == m_state.self ? m_state.heartbeat_round
                                     : (follower == nullptr ? round_number{0} : follower->acknowledged_round);
    });
    if (confirmed <= m_state.confirmed_heartbeat_round) {
        return;
    }
    m_state.confirmed_heartbeat_round = confirmed;
    m_state.confirmed_round_began_at = m_state.round_began_at[confirmed];
    m_state.round_began_at.erase(m_state.round_began_at.begin(),
                                 m_state.round_began_at.upper_bound(confirmed));
}

bool consensus_reducer::is_voter(const member& host) const
{
    return detail::is_voter(m_state.members, host);
}

bool consensus_reducer::is_member(const member& host) const
{
    return is_voter(host) || contains(m_state.members.learners, host);
}

bool consensus_reducer::has_quorum_of_votes() const
{
    return is_quorum(m_state.members, [this](const member& voter) { return contains(m_state.votes, voter); });
}

const follower_progress* consensus_reducer::find_follower(const member& host) const
{
    const auto found = m_state.followers.find(host.name);
    return found != m_state.followers.end() && found->second.peer == host ? &found->second : nullptr;
}

log_index consensus_reducer::last_index() const
{
    return consensus::last_index(m_state);
}

log_term consensus_reducer::term_at(log_index index) const
{
    if (index == m_state.latest_snapshot->last_index) {
        return m_state.latest_snapshot->last_term;
    }
    const log_entry* entry = m_state.log.find(index);
    return entry == nullptr ? 0 : entry->term;
}

bool consensus_reducer::is_candidate_log_up_to_date(const vote_request& request) const
{
    const log_term own_term = term_at(last_index());
    return request.last_term > own_term ||
           (request.last_term == own_term && request.last_index >= last_index());
}

bool consensus_reducer::heard_leader_recently() const
{
    if (m_state.current_role == role::leader) {
        return true;
    }
    return m_state.leader && m_now - m_state.last_leader_contact < election_timeout_min;
}

void consensus_reducer::reset_election_timer()
{
    std::uniform_int_distribution<std::int64_t> spread(election_timeout_min.count(),
                                                       election_timeout_max.count());
    m_state.election_at = m_now + milliseconds{spread(m_state.random)};
}

} // namespace hickorymount::consensus::detail
