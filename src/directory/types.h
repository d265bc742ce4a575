#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "session_token/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The replicated state of the control hosts and the commands that change it.
namespace hickorymount::directory {

using configuration::configuration_version;
using session_token::group_position;
using session_token::group_term;
using session_token::log_position;

/// The state of a database group's term.
enum class group_phase
{
    /// The primary of the term accepts writes.
    open,
    /// No further write of the term is acknowledged.
    closed,
    /// A candidate is named for the next term.
    promoting
};

/// The replicated record of one database group.
struct group_record
{
    group_phase phase = group_phase::closed;
    /// The newest term that has been opened.
    group_term term = 0;
    backend_server_name primary;
    /// The highest term given to a candidate; each candidate gets a new one.
    group_term last_candidate_term = 0;
    backend_server_name candidate;
    /// Starts of terms, newest last; at most `max_term_starts`.
    std::vector<session_token::term_start> term_starts;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// Number of term starts kept for each group. A session with a position in an older term is lost.
inline constexpr std::size_t max_term_starts = 64;
/// Number of answers to configuration changes that are kept for resent changes.
inline constexpr std::size_t max_remembered_changes = 4096;

/// Whether a configuration change was applied, or was based on another version than the current one.
enum class change_outcome
{
    accepted,
    conflict
};

/// The answer to a configuration change. A resent change gets the same answer again.
struct change_answer
{
    change_outcome outcome = change_outcome::conflict;
    /// The version that the change created, or the version that it conflicts with.
    configuration_version version = 0;

    friend bool operator==(const change_answer&, const change_answer&) = default;
};

/// Identifies a request that must not be repeated.
struct claim_key
{
    group_name group;
    request_key key;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
    friend bool operator==(const claim_key&, const claim_key&) = default;
};

/// The complete answer to a caller, kept for requests that repeat the key.
struct recorded_answer
{
    std::string body;
    session_token::group_position position;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// Identifies one process of an entry host. Each restart or replacement of the host gets a new incarnation.
struct entry_process_id
{
    host_name name;
    incarnation_id incarnation;

    friend auto operator<=>(const entry_process_id&, const entry_process_id&) = default;
    friend bool operator==(const entry_process_id&, const entry_process_id&) = default;
};

/// The request at one entry host that claimed a key.
struct claim_holder
{
    entry_process_id entry;
    std::uint64_t request = 0;

    friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

/// A claimed request key. Without a recorded answer, the outcome of the request is unknown.
struct claim_record
{
    claim_holder holder;
    /// Hash of the statement; detects the use of one key for two statements.
    std::uint64_t statement_hash = 0;
    unix_milliseconds claimed_at{0};
    unix_milliseconds expires_at{0};
    std::optional<recorded_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// The replicated record of an entry host's process that may hold a lease.
struct entry_record
{
    availability_zone zone;
    /// Where the process runs statements for other entry hosts, as `address:port`; empty without a relay.
    std::optional<std::string> relay_address;

    friend bool operator==(const entry_record&, const entry_record&) = default;
};

/// Replaces the configuration if `base` is the current version; otherwise the change conflicts.
struct change_configuration
{
    change_id id;
    configuration_version base = 0;
    configuration::configuration content;

    friend bool operator==(const change_configuration&, const change_configuration&) = default;
};

/// Replaces the configuration if `version` is higher than the current one; otherwise changes nothing. For
/// operators who number configurations themselves.
struct replace_configuration
{
    configuration_version version = 0;
    /// An earlier log entry proposes the same or a higher version; `content` is empty and not applied.
    bool is_repeated = false;
    configuration::configuration content;

    friend bool operator==(const replace_configuration&, const replace_configuration&) = default;
};

/// The replicated record of a backend server with the session interface, so that a restarted control host
/// knows the server's address. Liveness and role are not replicated; they come from the server's reports.
struct server_record
{
    group_name group;
    availability_zone zone;
    /// `address:port`
    std::string address;
    unix_milliseconds started_at{0};
    milliseconds report_interval{0};

    friend bool operator==(const server_record&, const server_record&) = default;
};

/// Adds or replaces the record of a backend server.
struct register_server
{
    backend_server_name name;
    server_record record;

    friend bool operator==(const register_server&, const register_server&) = default;
};

/// Removes the record of a backend server.
struct unregister_server
{
    backend_server_name name;

    friend bool operator==(const unregister_server&, const unregister_server&) = default;
};

/// What is known of the commits that dismissed processes of entry hosts acknowledged in a term.
struct departed_commits
{
    /// No commit of the processes that are accounted for is beyond this position.
    group_position position;
    /// Number of processes that were dismissed without a report.
    std::uint64_t unreported = 0;
    /// Number of these that a later position of the primary accounts for.
    std::uint64_t bounded = 0;

    friend bool operator==(const departed_commits&, const departed_commits&) = default;
};

/// True if `position` covers the commits of all dismissed processes.
inline bool is_complete(const departed_commits& commits)
{
    return commits.unreported == commits.bounded;
}

/// Adds the record of an entry host's process, which is required for its first lease.
struct admit_entry_host
{
    entry_process_id entry;
    availability_zone zone;
    std::optional<std::string> relay_address{};

    friend bool operator==(const admit_entry_host&, const admit_entry_host&) = default;
};

/// Removes the record of an entry host's process whose lease has expired or was returned.
struct dismiss_entry_host
{
    entry_process_id entry;
    /// Newest position whose commit the process has acknowledged, by group; empty if the process has not
    /// reported it.
    std::optional<std::map<group_name, group_position>> acknowledged{};

    friend bool operator==(const dismiss_entry_host&, const dismiss_entry_host&) = default;
};

/// Records a position that no commit acknowledged by the first `unreported` dismissed processes exceeds.
struct bound_departed_commits
{
    group_name group;
    group_term term = 0;
    group_position position;
    std::uint64_t unreported = 0;

    friend bool operator==(const bound_departed_commits&, const bound_departed_commits&) = default;
};

/// Opens a term with its primary and start position.
struct open_term
{
    group_name group;
    group_term term = 0;
    backend_server_name primary;
    log_position start = 0;

    friend bool operator==(const open_term&, const open_term&) = default;
};

/// Closes the open term of a group.
struct close_term
{
    group_name group;
    group_term term = 0;

    friend bool operator==(const close_term&, const close_term&) = default;
};

/// Records the candidate for a new term before that candidate is ordered to take over.
struct name_candidate
{
    group_name group;
    group_term term = 0;
    backend_server_name candidate;

    friend bool operator==(const name_candidate&, const name_candidate&) = default;
};

/// Claims a request key, so that at most one request with the key runs its statement.
struct create_claim
{
    claim_key key;
    claim_holder holder;
    std::uint64_t statement_hash = 0;
    unix_milliseconds claimed_at{0};
    milliseconds retention{0};

    friend bool operator==(const create_claim&, const create_claim&) = default;
};

/// Stores the answer of a claimed request.
struct record_answer
{
    claim_key key;
    claim_holder holder;
    recorded_answer answer;

    friend bool operator==(const record_answer&, const record_answer&) = default;
};

/// Removes a claim whose statement is known not to have run.
struct withdraw_claim
{
    claim_key key;
    claim_holder holder;

    friend bool operator==(const withdraw_claim&, const withdraw_claim&) = default;
};

/// Removes claims that have expired at `now`.
struct expire_claims
{
    unix_milliseconds now{0};

    friend bool operator==(const expire_claims&, const expire_claims&) = default;
};

/// The commands of the replicated log.
using command =
    std::variant<change_configuration, admit_entry_host, dismiss_entry_host, open_term, close_term,
                 name_candidate, create_claim, record_answer, withdraw_claim, expire_claims,
                 replace_configuration, register_server, unregister_server, bound_departed_commits>;

/// The replicated state. All control hosts that have applied the same commands hold equal values.
struct directory_state
{
    shared_value<configuration::versioned_configuration> configuration;
    /// Answers to recent configuration changes.
    shared_map<change_id, change_answer> change_answers;
    /// The identifiers in `change_answers`, oldest first.
    shared_map<std::uint64_t, change_id> change_ids_by_age;
    std::uint64_t next_change_number = 0;
    shared_map<group_name, group_record> groups;
    shared_map<entry_process_id, entry_record> entry_hosts;
    shared_map<claim_key, claim_record> claims;
    shared_map<backend_server_name, server_record> servers;
    /// By group, for the group's open term.
    shared_map<group_name, departed_commits> departed;

    friend bool operator==(const directory_state&, const directory_state&) = default;
};

/// The result of a claim.
enum class claim_outcome
{
    /// The sender of the claim runs the statement.
    granted,
    /// A request with the key has run, and its answer is recorded.
    answered,
    /// Another request claimed the key, and its answer is not recorded.
    outcome_unknown,
    /// The key belongs to another statement.
    key_reused
};

/// The answer to a claim; `answer` is present with the outcome `answered`.
struct claim_result
{
    claim_outcome outcome = claim_outcome::outcome_unknown;
    std::optional<recorded_answer> answer;

    friend bool operator==(const claim_result&, const claim_result&) = default;
};

/// The result of a command that returns nothing to its sender.
struct no_result
{
    friend bool operator==(const no_result&, const no_result&) = default;
};

/// The result of a command, returned to its sender.
using command_result = std::variant<no_result, change_answer, claim_result>;

struct directory_transition
{
    directory_state state;
    command_result result;

    friend bool operator==(const directory_transition&, const directory_transition&) = default;
};

} // namespace hickorymount::directory
