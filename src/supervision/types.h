#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "logging/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What the leading control host does beyond the log: leases, connection shares, changes of primary,
/// claims and the operators' changes. All of it is rebuilt after a change of leader.
namespace hickorymount::supervision {

using directory::entry_key;

/// A lease lasts this long by the leader's clock.
inline constexpr milliseconds lease_duration{2000};
inline constexpr milliseconds supervision_interval{25};
/// Silence of a primary, at all entry hosts together, that starts a check.
inline constexpr milliseconds report_silence{250};
/// A check that is not decided by then is given up.
inline constexpr milliseconds confirm_timeout{800};
inline constexpr milliseconds confirm_pause{100};
inline constexpr milliseconds close_resend_interval{100};
/// Longest wait for the positions of all replicas.
inline constexpr milliseconds collect_timeout_default{300};
/// The same, where a class has its writes acknowledged by a replica.
inline constexpr milliseconds collect_timeout_replica_acknowledged{1000};
inline constexpr milliseconds probe_resend_interval{250};
inline constexpr milliseconds takeover_timeout{400};
inline constexpr milliseconds follow_interval{200};
/// Configurations that follow one another faster than this reach entry hosts as the newest of them.
inline constexpr milliseconds configuration_send_interval{250};
/// Missed reports, in a row, that start a check of a primary that speaks in sessions.
inline constexpr int missed_reports = 3;
/// A probe over a session opens a connection, which waits for a slot of its own.
inline constexpr milliseconds confirm_timeout_sessions{1500};
/// The replicas' positions are known, or the acknowledged position is covered, before this much has passed;
/// after it the service's return weighs more than a commit that only the lost servers may hold.
inline constexpr milliseconds collect_limit{15'000};
/// Candidates whose position is not known are asked again after this; a question waits 500 ms for its answer.
inline constexpr milliseconds position_resend_interval{600};
/// With positions still missing after so many rounds, the lost primary is asked whether it is back with its
/// log.
inline constexpr std::size_t rounds_before_returned_primary = 2;
/// Longest time that one call to the platform for a promotion may be under way.
inline constexpr milliseconds promotion_call_bound{1000};
/// Between two looks at a candidate whose promotion was accepted.
inline constexpr milliseconds promotion_poll_interval{60};
/// A candidate that has not taken over by then is given up.
inline constexpr milliseconds promotion_limit{6000};
/// An update of the view, or the whole, reaches entry hosts within this time; until then it is not sent
/// again.
inline constexpr milliseconds view_delivery_time{300};
/// A backend server that was not heard for this long is forgotten.
inline constexpr milliseconds server_forgotten{60'000};
/// Longest time for which a planned change holds new writes back.
inline constexpr milliseconds hold_timeout{2500};
/// The same for servers that speak in sessions; transactions that are still open then are ended.
inline constexpr milliseconds hold_timeout_sessions{1000};
inline constexpr milliseconds planned_retry_pause{5000};
/// Reports of waiting commits count for this long.
inline constexpr milliseconds stall_memory{1500};
/// After a change for waiting commits; a new primary whose replicas do not receive either is left alone.
inline constexpr milliseconds stall_pause{10'000};
/// A dead entry host is forgotten this long after its lease ran out.
inline constexpr milliseconds dismiss_after{3000};
inline constexpr milliseconds in_force_timeout{5000};
inline constexpr milliseconds claim_expiry_interval{60'000};
inline constexpr std::size_t probes_for_position = 3;
/// Connections to each server that are left for probes and orders.
inline constexpr std::uint32_t connections_for_orders = 2;
inline constexpr int takeover_attempts = 3;

/// What the leader knows of one entry host's process.
struct entry_status
{
    availability_zone zone;
    /// By then its lease, if it has one, has run out.
    time_point lease_end{};
    time_point last_heard{};
    configuration::configuration_version version = 0;
    protocol::view_revision revision = 0;
    /// When it was last sent the whole view.
    std::optional<time_point> view_sent_at;
    /// Where it runs statements for others, if it does.
    std::optional<protocol::endpoint> relay;
    bool is_stopping = false;
    /// A later process of the same host was heard.
    bool is_replaced = false;

    friend bool operator==(const entry_status&, const entry_status&) = default;
};

/// One entry host's part of the connections that a backend server takes.
struct connection_use
{
    /// The most that it may hold until its next request.
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;

    friend bool operator==(const connection_use&, const connection_use&) = default;
};

struct server_status
{
    protocol::server_report report;
    time_point heard_at{};
    time_point follow_sent{};

    friend bool operator==(const server_status&, const server_status&) = default;
};

/// A lease request that waits for a majority to confirm the leader, or for its sender's admission.
struct pending_grant
{
    protocol::lease_request request;
    consensus::round_number after_round = 0;
    time_point received_at{};

    friend bool operator==(const pending_grant&, const pending_grant&) = default;
};

enum class change_stage
{
    /// Entry hosts check whether the primary is lost.
    confirming,
    /// Planned: entry hosts finish writes in flight and hold new ones.
    holding,
    /// Planned: the target reaches the primary's position.
    catching_up,
    /// The closing of the term is being agreed on.
    closing,
    /// Entry hosts confirm that the term is closed, or their leases run out.
    revoking,
    /// Replicas are asked for their positions.
    collecting,
    /// The candidate is being agreed on.
    naming,
    /// The candidate takes over.
    promoting,
    /// The new term is being agreed on.
    opening
};

/// When each stage of a change began, for the report on it.
struct change_times
{
    time_point suspected{};
    time_point confirmed{};
    time_point revoked{};
    time_point collected{};
    time_point promoted{};

    friend bool operator==(const change_times&, const change_times&) = default;
};

/// One change of primary in progress.
struct group_change
{
    change_stage stage = change_stage::confirming;
    protocol::group_term term = 0;
    std::string reason;
    /// The present primary may answer and stay a candidate: nothing says that it is lost.
    bool is_primary_candidate = false;
    /// Set for a planned change, until the target proves unable.
    std::optional<backend_server_name> target;
    time_point stage_since{};
    time_point sent_at{};
    change_times times;
    std::uint64_t probe = 0;
    std::set<host_name> asked;
    std::set<host_name> failed;
    std::set<host_name> reached;
    std::set<entry_key> awaiting;
    /// The newest commit acknowledged by an entry host that has confirmed the term's end.
    session::group_position acknowledged;
    /// No entry host's lease ran out before it confirmed the term's end.
    bool have_all_confirmed = true;
    std::map<backend_server_name, protocol::server_report> positions;
    /// How often the candidates were asked for their positions.
    std::size_t position_rounds = 0;
    backend_server_name candidate;
    protocol::group_term next_term = 0;
    protocol::log_position start = 0;
    std::uint64_t order = 0;
    int attempts = 0;
    bool is_promotion_accepted = false;

    friend bool operator==(const group_change&, const group_change&) = default;
};

/// Who waits for what a proposed command comes to.
struct claim_caller
{
    host_name entry;
    std::uint64_t call = 0;

    friend bool operator==(const claim_caller&, const claim_caller&) = default;
};

struct operator_caller
{
    std::uint64_t request = 0;

    friend bool operator==(const operator_caller&, const operator_caller&) = default;
};

using command_caller = std::variant<std::monostate, claim_caller, operator_caller>;

/// An operator whose accepted change is not yet in force everywhere.
struct pending_in_force
{
    std::uint64_t request = 0;
    configuration::configuration_version version = 0;
    time_point give_up_at{};

    friend bool operator==(const pending_in_force&, const pending_in_force&) = default;
};

/// An operator's reading of the configuration, which waits for a majority to confirm the leader.
struct pending_reading
{
    std::uint64_t request = 0;
    consensus::round_number after_round = 0;

    friend bool operator==(const pending_reading&, const pending_reading&) = default;
};

struct supervision_state
{
    bool is_leading = false;
    time_point leading_since{};
    protocol::view_revision revision = 0;
    /// The revision before the last update, and when that was sent.
    protocol::view_revision revision_before = 0;
    time_point published_at{};
    shared_map<entry_key, entry_status> entries;
    shared_map<backend_server_name, server_status> servers;
    std::map<backend_server_name, std::map<entry_key, connection_use>> uses;
    /// The keys of `uses` under which each entry host stands.
    std::map<entry_key, std::set<backend_server_name>> used_servers;
    /// Entry hosts of earlier leaders that this one has not heard.
    std::set<entry_key> unheard;
    /// Entry hosts whose admission was proposed.
    std::set<entry_key> admitting;
    std::set<entry_key> dismissing;
    std::vector<pending_grant> grants;
    /// The live entry hosts that run statements for others, and the configuration, that `holders` follows
    /// from.
    std::vector<protocol::relay_host> relay_hosts;
    configuration::configuration_version planned_for = 0;
    /// The entry hosts that open connections to each group's servers, and a hash of them.
    std::map<group_name, std::vector<protocol::relay_host>> holders;
    std::uint64_t holders_digest = 0;
    shared_map<group_name, group_change> changes;
    /// When each entry host last said that commits of the group's primary wait.
    std::map<group_name, std::map<host_name, time_point>> stalls;
    /// No change of the group starts before then.
    shared_map<group_name, time_point> paused;
    /// Reports that entry hosts have not been sent yet.
    std::set<backend_server_name> unsent_reports;
    /// A whole configuration that entry hosts have not been sent yet.
    bool has_unsent_configuration = false;
    /// The highest version that this leader has proposed.
    configuration::configuration_version proposed_version = 0;
    time_point configuration_sent_at{};
    std::vector<pending_in_force> in_force;
    std::vector<pending_reading> readings;
    std::uint64_t next_number = 1;
    time_point expire_claims_at{};

    friend bool operator==(const supervision_state&, const supervision_state&) = default;
};

/// The parts of the control host that supervision reads but does not change.
struct surroundings
{
    const directory::directory_state& directory;
    const consensus::consensus_state& consensus;
    time_point now{};
    unix_milliseconds wall{0};
};

struct entry_message
{
    host_name from;
    protocol::message content;

    friend bool operator==(const entry_message&, const entry_message&) = default;
};

/// A committed command and what it came to.
struct command_applied
{
    consensus::log_index index = 0;
    directory::command command;
    directory::command_report report;
    command_caller caller;

    friend bool operator==(const command_applied&, const command_applied&) = default;
};

struct configuration_asked
{
    std::uint64_t request = 0;
    directory::change_configuration change;

    friend bool operator==(const configuration_asked&, const configuration_asked&) = default;
};

/// An operator's whole configuration, under a version that the operator chose.
struct replacement_asked
{
    std::uint64_t request = 0;
    directory::replace_configuration change;

    friend bool operator==(const replacement_asked&, const replacement_asked&) = default;
};

/// A backend server's report that came to this control host directly.
struct server_announced
{
    protocol::server_report report;

    friend bool operator==(const server_announced&, const server_announced&) = default;
};

enum class promotion_outcome
{
    accepted,
    /// The server named is not running.
    not_running,
    /// Not accepted, or no answer.
    unclear
};

struct promotion_answered
{
    std::uint64_t order = 0;
    group_name group;
    promotion_outcome outcome = promotion_outcome::unclear;

    friend bool operator==(const promotion_answered&, const promotion_answered&) = default;
};

struct switch_asked
{
    std::uint64_t request = 0;
    group_name group;
    backend_server_name target;

    friend bool operator==(const switch_asked&, const switch_asked&) = default;
};

struct status_asked
{
    std::uint64_t request = 0;

    friend bool operator==(const status_asked&, const status_asked&) = default;
};

struct configuration_shown
{
    std::uint64_t request = 0;

    friend bool operator==(const configuration_shown&, const configuration_shown&) = default;
};

struct time_passed
{
    friend bool operator==(const time_passed&, const time_passed&) = default;
};

/// The log moved on, or leadership changed.
struct log_progressed
{
    friend bool operator==(const log_progressed&, const log_progressed&) = default;
};

using supervision_event = std::variant<entry_message, command_applied, configuration_asked, replacement_asked,
                                       switch_asked, status_asked, configuration_shown, server_announced,
                                       promotion_answered, time_passed, log_progressed>;

/// Sends to one entry host, or to all with a live lease when `to` is empty.
struct send_to_entry
{
    host_name to;
    protocol::message content;

    friend bool operator==(const send_to_entry&, const send_to_entry&) = default;
};

struct propose
{
    directory::command command;
    command_caller caller;

    friend bool operator==(const propose&, const propose&) = default;
};

/// Passes a message on to another control host.
struct send_to_control_host
{
    host_name to;
    protocol::message content;

    friend bool operator==(const send_to_control_host&, const send_to_control_host&) = default;
};

/// Asks the platform to make the server its group's primary.
struct order_promotion
{
    std::uint64_t order = 0;
    group_name group;
    backend_server_name server;
    /// The control host that gives the order.
    host_name holder;
    /// Increases with each control host that takes over the duty.
    std::uint64_t fencing_token = 0;
    /// Not to be sent later than this.
    time_point valid_until{};

    friend bool operator==(const order_promotion&, const order_promotion&) = default;
};

struct entry_summary
{
    host_name name;
    incarnation_id incarnation;
    availability_zone zone;
    bool is_live = false;
    configuration::configuration_version version = 0;

    friend bool operator==(const entry_summary&, const entry_summary&) = default;
};

struct group_summary
{
    group_name name;
    directory::group_record record;
    /// The stage of a change in progress, or empty.
    std::string change;

    friend bool operator==(const group_summary&, const group_summary&) = default;
};

/// What an operator sees of the system.
struct status_summary
{
    host_name host;
    bool is_leader = false;
    std::optional<host_name> leader;
    consensus::log_term term = 0;
    consensus::log_index commit = 0;
    consensus::membership members;
    configuration::configuration_version version = 0;
    std::vector<entry_summary> entry_hosts;
    std::vector<group_summary> groups;
    std::vector<protocol::server_report> backend_servers;
    std::uint64_t claims = 0;

    friend bool operator==(const status_summary&, const status_summary&) = default;
};

struct refused_answer
{
    std::string reason;
    std::optional<host_name> leader;

    friend bool operator==(const refused_answer&, const refused_answer&) = default;
};

struct configuration_answer
{
    directory::change_outcome outcome = directory::change_outcome::conflict;
    configuration::configuration_version version = 0;
    bool is_in_force = false;
    /// Entry hosts that hold a lease and have not confirmed the version.
    std::vector<host_name> waiting_for;

    friend bool operator==(const configuration_answer&, const configuration_answer&) = default;
};

struct switch_answer
{
    group_name group;
    bool is_started = false;

    friend bool operator==(const switch_answer&, const switch_answer&) = default;
};

struct shown_configuration
{
    configuration::versioned_configuration configuration;

    friend bool operator==(const shown_configuration&, const shown_configuration&) = default;
};

using operator_answer =
    std::variant<refused_answer, configuration_answer, switch_answer, status_summary, shown_configuration>;

struct answer_operator
{
    std::uint64_t request = 0;
    operator_answer answer;

    friend bool operator==(const answer_operator&, const answer_operator&) = default;
};

using supervision_effect = std::variant<send_to_entry, send_to_control_host, propose, answer_operator,
                                        order_promotion, logging::log_record>;

struct supervision_transition
{
    supervision_state state;
    std::vector<supervision_effect> effects;

    friend bool operator==(const supervision_transition&, const supervision_transition&) = default;
};

} // namespace hickorymount::supervision
