#pragma once

#include "consensus/types.h"

namespace hickorymount::consensus::detail {

/// One step of the log: holds the state while an event is applied, and collects the effects.
class consensus_reducer
{
public:
    consensus_reducer(consensus_state state, time_point now);

    void apply(const started& what);
    void apply(const formed& what);
    void apply(const received& what);
    void apply(const proposed& what);
    void apply(const synced& what);
    void apply(const timer_passed& what);
    void apply(const compaction_due& what);
    void apply(const contacts_named& what);

    transition finish();

private:
    void handle(const host_name& from, const vote_request& request);
    void handle(const host_name& from, const vote_answer& answer);
    void handle(const host_name& from, const append_request& request);
    void handle(const host_name& from, const append_answer& answer);
    void handle(const host_name& from, const install_request& request);
    void handle(const host_name& from, const join_request& request);
    void handle(const host_name& from, const member_hint& hint);

    void start_election(bool pre_vote);
    void become_leader();
    void step_down();
    void adopt_term(log_term term);
    bool accept_leader(const member& leader, log_term term);
    void check_quorum();
    void change_members_if_due();
    [[nodiscard]] bool is_caught_up(const member& learner) const;
    [[nodiscard]] bool is_spare(const member& learner) const;
    bool add_caught_up_learner();
    void remove_silent_voter();
    void ask_for_admission();
    void add_contacts(const std::vector<host_name>& hosts);
    void send_hint(const host_name& to);

    void append(const entry_content& content);
    log_index append_received(const append_request& request);
    void truncate_from(log_index index);
    void use_members(const membership& members, log_index index);
    void reload_members();
    void drop_entries_up_to(log_index index);
    void save_snapshot();

    void broadcast();
    void send_entries(follower_progress& follower, bool is_heartbeat);
    void send_snapshot(follower_progress& follower);
    void send(const host_name& to, message content);
    void send_when_synced(const host_name& to, message content);
    void persist();

    void advance_commit();
    void commit_to(log_index index);
    void confirm_round();

    [[nodiscard]] bool is_voter(const member& who) const;
    [[nodiscard]] bool is_member(const member& who) const;
    [[nodiscard]] std::size_t majority() const;
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] log_term term_at(log_index index) const;
    [[nodiscard]] bool is_up_to_date(const vote_request& request) const;
    [[nodiscard]] bool heard_leader_lately() const;
    void arm_election();

    consensus_state m_state;
    time_point m_now;
    std::vector<effect> m_effects;
    bool m_hard_changed = false;
    /// First index of the entries that this step changed; zero when none were.
    log_index m_changed_from = 0;
};

} // namespace hickorymount::consensus::detail
