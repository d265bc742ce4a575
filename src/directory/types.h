#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "session/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickorymount::directory {

using configuration::configuration_version;
using session::group_term;
using session::log_position;

/// open: the term's primary accepts writes. closed: no write of the term is acknowledged any more.
/// promoting: a candidate was named for the next term.
enum class group_phase
{
    open,
    closed,
    promoting
};

/// What control has agreed on for one group.
struct group_record
{
    group_phase phase = group_phase::closed;
    /// The newest term that was open.
    group_term term = 0;
    backend_server_name primary;
    /// The highest term ever named; each candidate gets one of its own.
    group_term last_named_term = 0;
    backend_server_name candidate;
    /// Newest last; bounded by max_term_starts.
    std::vector<session::term_start> starts;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// Terms whose start is remembered for each group. A session from an older term is told that it is lost.
inline constexpr std::size_t max_term_starts = 64;
/// Answered changes of configuration that are remembered for resends.
inline constexpr std::size_t max_remembered_changes = 4096;

enum class change_outcome
{
    accepted,
    conflict
};

/// The first answer to a change of configuration; a resend gets it again.
struct change_answer
{
    change_outcome outcome = change_outcome::conflict;
    /// The version that the change made, or that it conflicted with.
    configuration_version version = 0;

    friend bool operator==(const change_answer&, const change_answer&) = default;
};

/// Identifies a request that must not repeat.
struct claim_key
{
    group_name group;
    request_key key;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
    friend bool operator==(const claim_key&, const claim_key&) = default;
};

/// A caller's whole answer, kept for a repeated key.
struct recorded_answer
{
    std::string body;
    session::group_position position;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// One run of an entry host's process. A host that restarts, or is replaced, gets another key.
struct entry_key
{
    host_name name;
    incarnation_id incarnation;

    friend auto operator<=>(const entry_key&, const entry_key&) = default;
    friend bool operator==(const entry_key&, const entry_key&) = default;
};

/// The request, at one entry host, that claimed a key.
struct claim_holder
{
    entry_key entry;
    std::uint64_t request = 0;

    friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

/// One claimed request. Without an answer its outcome is unknown.
struct claim_record
{
    claim_holder holder;
    /// Hash of the statement, so that a key is not used for two statements.
    std::uint64_t statement_hash = 0;
    unix_milliseconds claimed_at{0};
    unix_milliseconds expires_at{0};
    std::optional<recorded_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// What is known of a process that may hold a lease.
struct entry_record
{
    availability_zone zone;
    /// Where it runs statements for other entry hosts, as `address:port`; empty when it does not.
    std::optional<std::string> relay;

    friend bool operator==(const entry_record&, const entry_record&) = default;
};

struct change_configuration
{
    change_id id;
    configuration_version base = 0;
    configuration::configuration content;

    friend bool operator==(const change_configuration&, const change_configuration&) = default;
};

/// Puts a whole configuration in force if its version is higher than the present one; otherwise changes
/// nothing. For operators who number their configurations themselves.
struct replace_configuration
{
    configuration_version version = 0;
    /// The version was proposed before, earlier in the log; `content` is left out and changes nothing.
    bool is_repeated = false;
    configuration::configuration content;

    friend bool operator==(const replace_configuration&, const replace_configuration&) = default;
};

/// What is kept of a backend server that speaks in sessions, so that a control host that starts anew knows
/// where the servers are. Whether a server is alive, and in which role, only its own reports tell.
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

struct register_server
{
    backend_server_name name;
    server_record record;

    friend bool operator==(const register_server&, const register_server&) = default;
};

struct unregister_server
{
    backend_server_name name;

    friend bool operator==(const unregister_server&, const unregister_server&) = default;
};

/// Takes on an entry host's process before it gets its first lease.
struct admit_entry_host
{
    entry_key entry;
    availability_zone zone;
    std::optional<std::string> relay{};

    friend bool operator==(const admit_entry_host&, const admit_entry_host&) = default;
};

/// Forgets an entry host whose lease has run out.
struct dismiss_entry_host
{
    entry_key entry;

    friend bool operator==(const dismiss_entry_host&, const dismiss_entry_host&) = default;
};

/// Opens a term: its primary and the position it starts from.
struct open_term
{
    group_name group;
    group_term term = 0;
    backend_server_name primary;
    log_position start = 0;

    friend bool operator==(const open_term&, const open_term&) = default;
};

struct close_term
{
    group_name group;
    group_term term = 0;

    friend bool operator==(const close_term&, const close_term&) = default;
};

/// Names the candidate for a new term before it is asked to take over.
struct name_candidate
{
    group_name group;
    group_term term = 0;
    backend_server_name candidate;

    friend bool operator==(const name_candidate&, const name_candidate&) = default;
};

struct claim_request
{
    claim_key key;
    claim_holder holder;
    std::uint64_t statement_hash = 0;
    unix_milliseconds claimed_at{0};
    milliseconds retention{0};

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

struct record_outcome
{
    claim_key key;
    claim_holder holder;
    recorded_answer answer;

    friend bool operator==(const record_outcome&, const record_outcome&) = default;
};

/// Gives a claim back whose statement was proved not to have run.
struct withdraw_claim
{
    claim_key key;
    claim_holder holder;

    friend bool operator==(const withdraw_claim&, const withdraw_claim&) = default;
};

/// Forgets claims whose retention is over.
struct expire_claims
{
    unix_milliseconds now{0};

    friend bool operator==(const expire_claims&, const expire_claims&) = default;
};

/// Everything that can be agreed on.
using command = std::variant<change_configuration, admit_entry_host, dismiss_entry_host, open_term,
                             close_term, name_candidate, claim_request, record_outcome, withdraw_claim,
                             expire_claims, replace_configuration, register_server, unregister_server>;

/// The agreed state. Every control host that has applied the same commands holds an equal value.
struct directory_state
{
    shared_value<configuration::versioned_configuration> configuration;
    shared_map<change_id, change_answer> changes;
    /// Oldest first.
    shared_map<std::uint64_t, change_id> change_order;
    std::uint64_t next_change = 0;
    shared_map<group_name, group_record> groups;
    shared_map<entry_key, entry_record> entry_hosts;
    shared_map<claim_key, claim_record> claims;
    shared_map<backend_server_name, server_record> servers;

    friend bool operator==(const directory_state&, const directory_state&) = default;
};

enum class claim_verdict
{
    /// The caller of this claim runs the statement.
    granted,
    /// The key has run; its answer is recorded.
    answered,
    /// The key was claimed before and has no recorded answer.
    outcome_unknown,
    /// The key belongs to another statement.
    key_reused
};

struct claim_answer
{
    claim_verdict verdict = claim_verdict::outcome_unknown;
    std::optional<recorded_answer> answer;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

/// What a command came to, for whoever proposed it.
struct nothing_to_report
{
    friend bool operator==(const nothing_to_report&, const nothing_to_report&) = default;
};
using command_report = std::variant<nothing_to_report, change_answer, claim_answer>;

struct directory_transition
{
    directory_state state;
    command_report report;

    friend bool operator==(const directory_transition&, const directory_transition&) = default;
};

} // namespace hickorymount::directory
