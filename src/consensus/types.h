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

/// The replicated log of the control hosts. The rules are those of Raft
/// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), with pre-vote,
/// check-quorum, learners and one-at-a-time membership change (Ongaro's dissertation, chapters 4 and 9).
namespace hickorymount::consensus {

using log_index = std::uint64_t;
using log_term = std::uint64_t;
using sync_id = std::uint64_t;
using round_number = std::uint64_t;

inline constexpr milliseconds heartbeat_interval{50};
inline constexpr milliseconds election_timeout_min{300};
inline constexpr milliseconds election_timeout_max{600};
/// A host that starts asks for votes this much earlier: often all hosts have just started, and where a leader
/// is heard the others refuse.
inline constexpr milliseconds first_election_lead{270};
inline constexpr milliseconds join_interval{500};
inline constexpr milliseconds snapshot_resend_interval{1000};
/// A voter that has been silent for this long is removed, as long as enough voters remain.
inline constexpr milliseconds voter_removal_delay{4000};
/// A voter that has been silent for this long is likely to be removed, and a spare host takes part in the
/// vote.
inline constexpr milliseconds spare_needed_after{2000};
/// Fewer voters than this would not bear the loss of one.
inline constexpr std::size_t least_voters = 3;
/// Hosts that a host asks for admission.
inline constexpr std::size_t max_contacts = 16;
inline constexpr std::size_t max_entries_in_message = 128;
/// Configurations in one message; the one that exceeds it is the last.
inline constexpr std::size_t max_bytes_in_message = std::size_t{128} << 10;
/// Applied entries beyond the last snapshot that cause the next one.
inline constexpr log_index snapshot_entries = 512;
/// Bytes of applied configurations that cause one earlier.
inline constexpr std::size_t snapshot_bytes = std::size_t{1} << 20;
/// Entries kept behind a snapshot for followers that are slightly behind.
inline constexpr log_index kept_behind_snapshot = 64;

/// A control host: its address name and the identity of its data folder.
struct member
{
    host_name name;
    folder_identity identity;

    friend auto operator<=>(const member&, const member&) = default;
    friend bool operator==(const member&, const member&) = default;
};

struct membership
{
    std::vector<member> voters;
    /// Members that receive the log but do not vote yet.
    std::vector<member> learners;

    friend bool operator==(const membership&, const membership&) = default;
};

/// Starts a leader's term.
struct no_operation
{
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

using entry_content = std::variant<no_operation, membership, directory::command>;

struct log_entry
{
    log_index index = 0;
    log_term term = 0;
    shared_value<entry_content> content;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// Term and vote; on disk before any message that depends on them.
struct hard_state
{
    log_term term = 0;
    std::optional<folder_identity> voted_for;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

struct snapshot
{
    log_index last_index = 0;
    log_term last_term = 0;
    membership members;
    directory::directory_state directory;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// What a data folder holds.
struct stored_state
{
    folder_identity identity;
    hard_state hard;
    shared_value<snapshot> latest;
    std::vector<log_entry> entries;

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

struct vote_request
{
    bool pre_vote = false;
    log_term term = 0;
    member candidate;
    log_index last_index = 0;
    log_term last_term = 0;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_answer
{
    bool pre_vote = false;
    log_term term = 0;
    member voter;
    bool granted = false;

    friend bool operator==(const vote_answer&, const vote_answer&) = default;
};

struct append_request
{
    log_term term = 0;
    member leader;
    log_index previous_index = 0;
    log_term previous_term = 0;
    std::vector<log_entry> entries;
    log_index commit = 0;
    round_number round = 0;

    friend bool operator==(const append_request&, const append_request&) = default;
};

struct append_answer
{
    log_term term = 0;
    member follower;
    bool accepted = false;
    /// Accepted: the last index that matches. Refused: the follower's guess at one.
    log_index match = 0;
    round_number round = 0;

    friend bool operator==(const append_answer&, const append_answer&) = default;
};

struct install_request
{
    log_term term = 0;
    member leader;
    shared_value<snapshot> content;
    round_number round = 0;

    friend bool operator==(const install_request&, const install_request&) = default;
};

/// Sent by a control host that is in no membership it knows of.
struct join_request
{
    member joining;

    friend bool operator==(const join_request&, const join_request&) = default;
};

/// Tells a host that is not a member, as far as the sender knows, whom to ask for admission.
struct member_hint
{
    std::vector<host_name> voters;

    friend bool operator==(const member_hint&, const member_hint&) = default;
};

using message = std::variant<vote_request, vote_answer, append_request, append_answer, install_request,
                             join_request, member_hint>;

enum class role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/// A leader's knowledge of one follower.
struct follower_progress
{
    member who;
    log_index next = 1;
    log_index match = 0;
    round_number acknowledged_round = 0;
    time_point last_answer{};
    bool awaiting_answer = false;
    time_point snapshot_sent{};

    friend bool operator==(const follower_progress&, const follower_progress&) = default;
};

/// A message that waits for a sync.
struct held_message
{
    sync_id after = 0;
    host_name to;
    message content;

    friend bool operator==(const held_message&, const held_message&) = default;
};

struct pending_sync
{
    sync_id id = 0;
    log_index last_index = 0;

    friend bool operator==(const pending_sync&, const pending_sync&) = default;
};

struct consensus_state
{
    member self;
    /// Control hosts named in the settings or in hints, asked for admission by a host that is not a member.
    std::vector<host_name> contacts;
    /// A member has said that this host is none; it asks for admission although its own log names it.
    bool is_excluded = false;
    hard_state hard;
    shared_value<snapshot> latest;
    shared_map<log_index, log_entry> log;
    /// The newest in the log, committed or not.
    membership members;
    log_index members_index = 0;
    log_index commit = 0;
    /// The last index known to be on this host's disk.
    log_index durable = 0;
    role current_role = role::follower;
    std::optional<host_name> leader;
    time_point last_leader_contact{};
    time_point election_at{};
    time_point heartbeat_at{};
    time_point join_at{};
    time_point leading_since{};
    std::vector<member> votes;
    std::map<host_name, follower_progress> followers;
    round_number round = 0;
    round_number confirmed_round = 0;
    sync_id last_sync = 0;
    std::vector<pending_sync> syncs;
    std::vector<held_message> held;
    /// Index of the first entry of this leader's own term.
    log_index own_term_start = 0;
    std::minstd_rand random;

    friend bool operator==(const consensus_state&, const consensus_state&) = default;
};

/// The process starts with what its data folder holds.
struct started
{
    member self;
    std::vector<host_name> contacts;
    stored_state stored;
    std::uint32_t seed = 0;

    friend bool operator==(const started&, const started&) = default;
};

/// An operator forms a new cluster of hosts with empty data folders.
struct formed
{
    membership members;

    friend bool operator==(const formed&, const formed&) = default;
};

struct received
{
    host_name from;
    message content;

    friend bool operator==(const received&, const received&) = default;
};

struct proposed
{
    std::vector<entry_content> contents;

    friend bool operator==(const proposed&, const proposed&) = default;
};

struct synced
{
    sync_id id = 0;

    friend bool operator==(const synced&, const synced&) = default;
};

struct timer_passed
{
    friend bool operator==(const timer_passed&, const timer_passed&) = default;
};

/// The directory as of the commit index, for a snapshot.
struct compaction_due
{
    directory::directory_state directory;
    /// Entries to keep for followers that are slightly behind.
    log_index kept = kept_behind_snapshot;

    friend bool operator==(const compaction_due&, const compaction_due&) = default;
};

/// Changed settings name other control hosts to ask for admission.
struct contacts_named
{
    std::vector<host_name> contacts;

    friend bool operator==(const contacts_named&, const contacts_named&) = default;
};

using event_kind =
    std::variant<started, formed, received, proposed, synced, timer_passed, compaction_due, contacts_named>;

struct event
{
    time_point now{};
    event_kind what;

    friend bool operator==(const event&, const event&) = default;
};

struct send_message
{
    host_name to;
    message content;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/// Writes to the log file and syncs it. Entries from `truncate_from` on are replaced by `entries`.
struct persist_log
{
    sync_id id = 0;
    hard_state hard;
    log_index truncate_from = 0;
    std::vector<log_entry> entries;

    friend bool operator==(const persist_log&, const persist_log&) = default;
};

/// Replaces the snapshot, then the log by `entries`, and syncs both.
struct persist_snapshot
{
    sync_id id = 0;
    hard_state hard;
    shared_value<snapshot> content;
    std::vector<log_entry> entries;

    friend bool operator==(const persist_snapshot&, const persist_snapshot&) = default;
};

/// The entry is committed: apply it.
struct apply_entry
{
    log_entry entry;

    friend bool operator==(const apply_entry&, const apply_entry&) = default;
};

/// The directory starts anew from a snapshot.
struct replace_directory
{
    shared_value<snapshot> content;

    friend bool operator==(const replace_directory&, const replace_directory&) = default;
};

using effect = std::variant<send_message, persist_log, persist_snapshot, apply_entry, replace_directory>;

struct transition
{
    consensus_state state;
    std::vector<effect> effects;
    /// When the next timer_passed is due.
    time_point wake_at{};

    friend bool operator==(const transition&, const transition&) = default;
};

} // namespace hickorymount::consensus
