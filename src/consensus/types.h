#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "directory/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

/// The replicated log of the control hosts. The protocol is Raft
/// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), with pre-vote,
/// check-quorum, learners, and joint membership changes (the same paper, section 6; Ongaro's dissertation,
/// chapters 4 and 9).
namespace hickorymount::consensus {

/// Position of an entry in the replicated log; the first entry has index 1.
using log_index = std::uint64_t;
/// Raft term of the control hosts.
using log_term = std::uint64_t;
/// Number of a persist effect, ascending within one process.
using sync_id = std::uint64_t;
/// Number of a leader's heartbeat round.
using round_number = std::uint64_t;

inline constexpr milliseconds heartbeat_interval{50};
inline constexpr milliseconds election_timeout_min{300};
inline constexpr milliseconds election_timeout_max{600};
/// Shortens the first election timeout after a start, for the case that all hosts have just started. A
/// running leader is not disrupted: voters that receive its heartbeats ignore the request.
inline constexpr milliseconds startup_election_advance{270};
/// Part of `election_timeout_min` on which no leader relies, since the clocks of hosts run at different
/// rates.
inline constexpr milliseconds leadership_margin{20};
/// Time between two join requests to the same contacts.
inline constexpr milliseconds join_retry_interval{500};
/// Least time between two snapshots sent to the same follower.
inline constexpr milliseconds snapshot_resend_interval{1000};
/// A voter without a response for this long is removed while more than `min_voters` remain.
inline constexpr milliseconds voter_removal_delay{4000};
/// A voter without a response for this long is replaced by a learner that has caught up.
inline constexpr milliseconds silent_voter_replacement_delay{2000};
/// Fewer voters than this cannot tolerate the failure of one.
inline constexpr std::size_t min_voters = 3;
/// Time between two leave requests of a host that is about to stop.
inline constexpr milliseconds leave_retry_interval{100};
/// A leave request counts for this long; the host repeats it as long as it runs.
inline constexpr milliseconds leave_request_lifetime{500};
/// Number of hosts to which a host that is not a member sends join requests.
inline constexpr std::size_t max_contacts = 16;
inline constexpr std::size_t max_entries_per_message = 128;
/// Limit for the configuration sources in one message; the entry that reaches the limit is still included.
inline constexpr std::size_t max_bytes_per_message = std::size_t{128} << 10;
/// Number of entries committed since the last snapshot that triggers the next one.
inline constexpr log_index snapshot_entry_threshold = 512;
/// Size of the configurations applied since the last snapshot that triggers the next one earlier.
inline constexpr std::size_t snapshot_byte_threshold = std::size_t{1} << 20;
/// Number of log entries retained behind a snapshot, so that a slightly lagging follower needs no snapshot.
inline constexpr log_index trailing_log_entries = 64;

/// A control host: its name, which serves as its address, and the identity of its data folder.
struct member
{
    host_name name;
    data_folder_id identity;

    friend auto operator<=>(const member&, const member&) = default;
    friend bool operator==(const member&, const member&) = default;
};

/// The control hosts of the cluster. A change takes effect when it is appended to the log, before its commit.
struct membership
{
    std::vector<member> voters;
    /// Members that receive the log but do not vote.
    std::vector<member> learners;
    /// The voters that `voters` replaces. While there are any, the membership is joint: each decision needs a
    /// majority of both.
    std::optional<std::vector<member>> outgoing_voters;

    friend bool operator==(const membership&, const membership&) = default;
};

/// The first entry of a leader's term. Its commit also commits the entries of earlier terms.
struct no_operation
{
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// The payload of a log entry.
using entry_content = std::variant<no_operation, membership, directory::command>;

/// An entry of the replicated log with the term of the leader that created it.
struct log_entry
{
    log_index index = 0;
    log_term term = 0;
    shared_value<entry_content> content;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// Current term and vote; durable before any message that depends on them is sent.
struct hard_state
{
    log_term term = 0;
    std::optional<data_folder_id> voted_for;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// The state after the entry `last_index`; replaces the log up to there.
struct snapshot
{
    log_index last_index = 0;
    log_term last_term = 0;
    membership members;
    directory::directory_state directory;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// The content of a data folder.
struct stored_state
{
    data_folder_id identity;
    hard_state persistent_state;
    shared_value<snapshot> latest_snapshot;
    std::vector<log_entry> entries;

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

/// Raft's RequestVote. With `is_pre_vote`, asks whether the receiver would grant a vote in `term`.
struct vote_request
{
    bool is_pre_vote = false;
    log_term term = 0;
    member candidate;
    /// Index and term of the last entry in the candidate's log.
    log_index last_index = 0;
    log_term last_term = 0;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

/// The response to a `vote_request`.
struct vote_response
{
    bool is_pre_vote = false;
    /// Pre-vote: the term of the request. Vote: the voter's current term.
    log_term term = 0;
    member voter;
    bool is_granted = false;

    friend bool operator==(const vote_response&, const vote_response&) = default;
};

/// Raft's AppendEntries; without entries, a heartbeat.
struct append_entries_request
{
    log_term term = 0;
    member leader;
    /// Index and term of the entry before the first of `entries`.
    log_index previous_index = 0;
    log_term previous_term = 0;
    std::vector<log_entry> entries;
    /// The leader's commit index.
    log_index commit_index = 0;
    /// Returned in the response; the leader learns from it which rounds the follower has acknowledged.
    round_number round = 0;

    friend bool operator==(const append_entries_request&, const append_entries_request&) = default;
};

/// The response to an `append_entries_request` or an `install_snapshot_request`.
struct append_entries_response
{
    log_term term = 0;
    member follower;
    bool is_accepted = false;
    /// Accepted: the last index at which the logs match. Rejected: an index at which they may match, for the
    /// next attempt.
    log_index match_index = 0;
    round_number round = 0;

    friend bool operator==(const append_entries_response&, const append_entries_response&) = default;
};

/// Raft's InstallSnapshot, for a follower that needs entries which the leader's log no longer has.
struct install_snapshot_request
{
    log_term term = 0;
    member leader;
    shared_value<snapshot> content;
    round_number round = 0;

    friend bool operator==(const install_snapshot_request&, const install_snapshot_request&) = default;
};

/// Asks for admission to the cluster. Sent by a control host that is no voter in the membership it knows, or
/// that received a `member_hint`.
struct join_request
{
    member joining;

    friend bool operator==(const join_request&, const join_request&) = default;
};

/// Names the voters to ask for admission. Sent to a host that is not a voter in the sender's membership, and
/// in response to a `join_request` by a host that is not the leader.
struct member_hint
{
    std::vector<host_name> voters;

    friend bool operator==(const member_hint&, const member_hint&) = default;
};

/// Asks the leader for a replacement. Sent by a voter that is about to stop, as long as it is a voter and a
/// learner could take its place.
struct leave_request
{
    member leaving;

    friend bool operator==(const leave_request&, const leave_request&) = default;
};

using message = std::variant<vote_request, vote_response, append_entries_request, append_entries_response,
                             install_snapshot_request, join_request, member_hint, leave_request>;

/// The Raft role of a control host.
enum class role
{
    follower,
    /// Collects pre-votes in its current term; a majority of them starts the election.
    pre_candidate,
    candidate,
    leader
};

/// Replication progress of one follower, as the leader knows it.
struct follower_progress
{
    member peer;
    /// Index of the next entry to send.
    log_index next_index = 1;
    /// Last index at which the follower's log is known to match the leader's.
    log_index match_index = 0;
    round_number acknowledged_round = 0;
    time_point last_response_at{};
    bool is_awaiting_response = false;
    time_point snapshot_sent_at{};

    friend bool operator==(const follower_progress&, const follower_progress&) = default;
};

/// A message to send after the sync `after_sync` has completed.
struct deferred_message
{
    sync_id after_sync = 0;
    host_name recipient;
    message content;

    friend bool operator==(const deferred_message&, const deferred_message&) = default;
};

/// A persist effect that has not completed yet.
struct pending_sync
{
    sync_id id = 0;
    /// Last log index that is durable after the sync.
    log_index last_index = 0;

    friend bool operator==(const pending_sync&, const pending_sync&) = default;
};

/// The complete consensus state of one control host.
struct consensus_state
{
    member self;
    /// Control hosts from the settings or from a `member_hint`, to which a host that is not a member sends
    /// join requests.
    std::vector<host_name> contacts;
    /// True when a member has reported that this host is not a member. The host then asks for admission
    /// although its own log lists it as a voter.
    bool is_excluded = false;
    /// The process is about to stop. It does not ask for admission any more.
    bool is_leaving = false;
    hard_state persistent_state;
    shared_value<snapshot> latest_snapshot;
    shared_map<log_index, log_entry> log;
    /// The newest membership in the log, committed or not, and the index of its entry.
    membership members;
    log_index membership_index = 0;
    /// The last committed index.
    log_index commit_index = 0;
    /// The last index that is durable on this host.
    log_index durable_index = 0;
    role current_role = role::follower;
    std::optional<host_name> leader;
    time_point last_leader_contact{};
    time_point election_at{};
    time_point heartbeat_at{};
    time_point join_at{};
    time_point leave_at{};
    time_point leading_since{};
    /// Voters that granted this host a vote or pre-vote in the current election.
    std::vector<member> votes;
    /// Empty unless this host is the leader.
    std::map<host_name, follower_progress> followers;
    /// Time at which each member last asked this leader for a replacement.
    std::map<member, time_point> leave_requested_at;
    /// The last heartbeat round that this host began.
    round_number heartbeat_round = 0;
    /// The last round that a majority of the voters acknowledged.
    round_number confirmed_heartbeat_round = 0;
    /// Time at which this leader began that round, and the later ones.
    time_point confirmed_round_began_at{};
    std::map<round_number, time_point> round_began_at;
    sync_id last_sync = 0;
    std::vector<pending_sync> pending_syncs;
    std::vector<deferred_message> deferred_messages;
    /// Index of the first entry of this leader's term.
    log_index term_start_index = 0;
    /// Source of the randomized election timeouts.
    std::minstd_rand random;

    friend bool operator==(const consensus_state&, const consensus_state&) = default;
};

/// The process has started and loaded its data folder.
struct started
{
    member self;
    std::vector<host_name> contacts;
    stored_state stored;
    /// Seed of the random election timeouts.
    std::uint32_t seed = 0;

    friend bool operator==(const started&, const started&) = default;
};

/// An operator has requested a new cluster of these hosts. Ignored unless the data folder is empty and this
/// host is among the voters.
struct cluster_formation_requested
{
    membership members;

    friend bool operator==(const cluster_formation_requested&, const cluster_formation_requested&) = default;
};

/// A message from another control host has arrived.
struct message_received
{
    host_name sender;
    message content;

    friend bool operator==(const message_received&, const message_received&) = default;
};

/// Entries have been proposed for the log. Ignored unless this host is the leader.
struct entries_proposed
{
    std::vector<entry_content> contents;

    friend bool operator==(const entries_proposed&, const entries_proposed&) = default;
};

/// The persist effects up to `id` are durable.
struct sync_completed
{
    sync_id id = 0;

    friend bool operator==(const sync_completed&, const sync_completed&) = default;
};

/// The time of `transition::next_timer_at` has been reached.
struct timer_expired
{
    friend bool operator==(const timer_expired&, const timer_expired&) = default;
};

/// Requests a snapshot; carries the directory as of the commit index.
struct compaction_requested
{
    directory::directory_state directory;
    /// Number of entries to retain for slightly lagging followers.
    log_index retained_entries = trailing_log_entries;

    friend bool operator==(const compaction_requested&, const compaction_requested&) = default;
};

/// The settings have changed and name other control hosts as contacts.
struct contacts_changed
{
    std::vector<host_name> contacts;

    friend bool operator==(const contacts_changed&, const contacts_changed&) = default;
};

/// The process is about to stop; a learner that has caught up shall take its place before.
struct departure_requested
{
    friend bool operator==(const departure_requested&, const departure_requested&) = default;
};

using event_payload =
    std::variant<started, cluster_formation_requested, message_received, entries_proposed, sync_completed,
                 timer_expired, compaction_requested, contacts_changed, departure_requested>;

/// An event with the time at which it is processed.
struct event
{
    time_point now{};
    event_payload payload;

    friend bool operator==(const event&, const event&) = default;
};

/// Sends a message to another control host. Messages may be lost.
struct send_message
{
    host_name recipient;
    message content;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/// Writes the hard state to the log file, replaces the entries from `truncate_from` on by `entries`, and
/// syncs the file.
struct persist_log
{
    sync_id id = 0;
    hard_state persistent_state;
    log_index truncate_from = 0;
    std::vector<log_entry> entries;

    friend bool operator==(const persist_log&, const persist_log&) = default;
};

/// Replaces the stored snapshot, then the stored log by `persistent_state` and `entries`, and syncs both
/// files.
struct persist_snapshot
{
    sync_id id = 0;
    hard_state persistent_state;
    shared_value<snapshot> content;
    std::vector<log_entry> entries;

    friend bool operator==(const persist_snapshot&, const persist_snapshot&) = default;
};

/// Applies a committed entry to the directory.
struct apply_entry
{
    log_entry entry;

    friend bool operator==(const apply_entry&, const apply_entry&) = default;
};

/// Replaces the directory by that of a snapshot.
struct restore_directory
{
    shared_value<snapshot> content;

    friend bool operator==(const restore_directory&, const restore_directory&) = default;
};

using effect = std::variant<send_message, persist_log, persist_snapshot, apply_entry, restore_directory>;

/// The result of one event: the new state and the effects, in the order in which to execute them.
struct transition
{
    consensus_state state;
    std::vector<effect> effects;
    /// When the next `timer_expired` is due.
    time_point next_timer_at{};

    friend bool operator==(const transition&, const transition&) = default;
};

} // namespace hickorymount::consensus
