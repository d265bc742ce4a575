#pragma once

#include "consensus/types.h"

namespace hickorymount::consensus::detail {

/// Applies one event to the consensus state and collects the effects.
class consensus_reducer
{
public:
    consensus_reducer(consensus_state state, time_point now);

    void apply(const started& event);
    void apply(const cluster_formation_requested& event);
    void apply(const message_received& event);
    void apply(const entries_proposed& event);
    void apply(const sync_completed& event);
    void apply(const timer_expired& event);
    void apply(const compaction_requested& event);
    void apply(const contacts_changed& event);
    void apply(const departure_requested& event);

    transition finish();

private:
    void handle(const host_name& from, const vote_request& request);
    void handle(const host_name& from, const vote_response& answer);
    void handle(const host_name& from, const append_entries_request& request);
    void handle(const host_name& from, const append_entries_response& answer);
    void handle(const host_name& from, const install_snapshot_request& request);
    void handle(const host_name& from, const join_request& request);
    void handle(const host_name& from, const member_hint& hint);
    void handle(const host_name& from, const leave_request& request);

    /// With `is_pre_vote`, asks for votes in the next term without entering it.
    void start_election(bool is_pre_vote);
    void become_leader();
    void step_down();
    void adopt_term(log_term term);
    bool accept_leader(const member& leader, log_term term);
    /// Steps down when a majority of the voters has not responded within the election timeout.
    void check_quorum();
    void step_down_if_replaced();
    /// Appends the next change of the membership, once the previous one has been committed.
    void propose_membership_change();
    [[nodiscard]] bool is_caught_up(const follower_progress& follower) const;
    void send_join_requests();
    void send_leave_requests();
    void add_contacts(const std::vector<host_name>& hosts);
    void send_hint(const host_name& to);

    void append_entry(const entry_content& content);
    /// Returns the last index at which the log matches that of the leader.
    log_index append_received_entries(const append_entries_request& request);
    void truncate_from(log_index index);
    /// Counts no entry after `last` as durable, or as being made durable.
    void limit_durable_index(log_index last);
    void set_membership(const membership& members, log_index index);
    /// Takes the newest membership from the snapshot and the log.
    void recompute_membership();
    void drop_entries_up_to(log_index index);
    void persist_latest_snapshot();

    /// Sends new entries, or an empty append request, to every follower.
    void start_heartbeat_round();
    void send_entries(follower_progress& follower, bool is_heartbeat);
    void send_snapshot(follower_progress& follower);
    void send_now(const host_name& to, message content);
    /// Sends after every persist effect emitted so far is durable.
    void send_after_sync(const host_name& to, message content);
    /// Emits a persist effect for the unsaved changes of hard state and log.
    void persist();

    void advance_commit();
    void commit_to(log_index index);
    /// Recomputes the latest round that a majority of the voters has acknowledged.
    void advance_confirmed_round();

    [[nodiscard]] bool is_voter(const member& host) const;
    [[nodiscard]] bool is_member(const member& host) const;
    [[nodiscard]] bool has_quorum_of_votes() const;
    /// The progress of this member; null if the host of that name has another identity.
    [[nodiscard]] const follower_progress* find_follower(const member& host) const;
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] log_term term_at(log_index index) const;
    [[nodiscard]] bool is_candidate_log_up_to_date(const vote_request& request) const;
    [[nodiscard]] bool heard_leader_recently() const;
    void reset_election_timer();

    consensus_state m_state;
    time_point m_now;
    std::vector<effect> m_effects;
    /// Term or vote changed and no persist effect has been emitted for the change yet.
    bool m_hard_state_changed = false;
    /// First log index that this event changed; zero when the log is unchanged.
    log_index m_changed_from = 0;
};

} // namespace hickorymount::consensus::detail
