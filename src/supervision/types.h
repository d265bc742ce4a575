#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "limits/quota_allocator.h"
#include "logging/types.h"
#include "protocol/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The duties of the leading control host outside the replicated log: leases, connection shares, changes of
/// primary, claims and operator requests. A new leader rebuilds this state from the directory and from the
/// messages that it receives.
namespace hickorymount::supervision {

using directory::entry_process_id;

/// Duration of a lease, measured by the leader's clock.
inline constexpr milliseconds lease_duration{2000};
/// Interval between two `timer_expired` events.
inline constexpr milliseconds supervision_interval{25};
/// A primary that no entry host has heard for this long is probed.
inline constexpr milliseconds primary_report_timeout{250};
/// Longest time that entry hosts may take to confirm the loss of a primary.
inline constexpr milliseconds confirmation_timeout{800};
/// Shortest time between an abandoned check of a primary and the next one.
inline constexpr milliseconds confirmation_retry_delay{100};
inline constexpr milliseconds close_resend_interval{100};
/// Longest wait for the positions of further servers once one is known to hold all acknowledged commits.
inline constexpr milliseconds position_timeout_default{300};
/// Longest wait for the positions of all replicas where a class has its writes acknowledged by a replica.
inline constexpr milliseconds position_timeout_replica_acknowledged{1000};
/// An order to the platform to promote a server is not sent later than this after its creation, and only
/// while no other leader can have been elected.
inline constexpr milliseconds promotion_order_lifetime{250};
/// A takeover order without a report is sent again after this.
inline constexpr milliseconds takeover_timeout{400};
/// Shortest time between two follow orders for the same server.
inline constexpr milliseconds follow_order_interval{200};
/// A follow order after a change of primary is sent again after this while no success is reported.
inline constexpr milliseconds follow_order_retry_interval{1000};
/// Shortest time between two configurations sent to one entry host; versions in between are skipped.
inline constexpr milliseconds configuration_send_interval{250};
/// Shortest time between two relay plans. Each plan goes to every entry host, and hosts that start or stop
/// one after the other change it again and again.
inline constexpr milliseconds relay_plan_interval{250};
/// An entry host without a lease request for this long gets no configuration until its next one.
inline constexpr milliseconds configuration_contact_limit{2000};
/// Versions that are kept as the base of differences; an entry host with an older one gets all routes.
inline constexpr std::size_t max_recent_configurations = 16;
/// A primary with the session interface is probed after this many missed reports in a row.
inline constexpr int missed_reports_before_check = 3;
/// `confirmation_timeout` for servers with the session interface, where a probe opens a connection first and
/// that connection waits for a slot.
inline constexpr milliseconds confirmation_timeout_sessions{1500};
/// Longest wait for a server that stays before one that is leaving takes over: the bound for a change of
/// primary.
inline constexpr milliseconds leaving_candidate_delay{8000};
/// Candidates with unknown positions are probed again after this; a probe waits 500 ms for its answer.
inline constexpr milliseconds position_resend_interval{600};
/// With positions still missing after this many rounds, the lost primary is probed too: it may have restarted
/// with its log.
inline constexpr std::size_t rounds_before_probing_old_primary = 2;
/// Longest duration of one call to the platform for a promotion.
inline constexpr milliseconds promotion_call_timeout{1000};
/// Interval between probes of a candidate whose promotion the platform has accepted.
inline constexpr milliseconds promotion_poll_interval{60};
/// Longest time for a candidate to become primary; afterwards a new candidate is chosen.
inline constexpr milliseconds promotion_timeout{6000};
/// A backend server without a report for this long is removed.
inline constexpr milliseconds silent_server_retention{60'000};
/// Longest time for which a planned change of primary holds back new writes.
inline constexpr milliseconds write_hold_timeout{2500};
/// `write_hold_timeout` for servers with the session interface; transactions that are still open afterwards
/// are ended.
inline constexpr milliseconds write_hold_timeout_sessions{1000};
/// No automatic change of primary starts in a group for this long after an abandoned planned change.
inline constexpr milliseconds planned_change_retry_delay{5000};
/// Time for which an entry host's report of waiting commits counts.
inline constexpr milliseconds stall_report_retention{1500};
/// No primary that still answers is replaced for this long after a change because of waiting commits: a new
/// primary whose replicas receive nothing either is not replaced at once.
inline constexpr milliseconds stall_change_delay{10'000};
/// A silent entry host is dismissed this long after its lease expired.
inline constexpr milliseconds entry_host_dismissal_delay{3000};
/// Longest wait for all live entry hosts to confirm a new configuration before the operator is answered.
inline constexpr milliseconds in_force_timeout{5000};
/// Interval between commands that remove expired claims.
inline constexpr milliseconds claim_expiry_interval{60'000};
/// A probe for a bound of departed commits is repeated after this.
inline constexpr milliseconds commit_bound_probe_interval{1000};
/// Number of entry hosts that probe each candidate at once.
inline constexpr std::size_t probing_hosts_per_candidate = 3;
/// Updates of the view that may be in transit to one entry host. With more, it gets the complete view.
inline constexpr std::size_t max_views_in_transit = 16;
/// Connections to each server that are reserved for probes and orders; small limits reserve fewer.
inline constexpr std::uint32_t max_reserved_connections = 2;
/// Takeover orders sent to one candidate before a new candidate is chosen.
inline constexpr int max_takeover_attempts = 3;

/// A document that was sent to an entry host. It is in transit until the entry host has received a grant that
/// was sent later on the same connection; by then it has arrived or is lost. This holds at any speed of the
/// link, while a fixed time limit would queue copies behind a slow one.
struct sent_document
{
    /// Revision or version that the entry host reports once it has applied the document.
    std::uint64_t version = 0;
    /// Sequence number of the newest grant sent before the document.
    std::uint64_t after_grant = 0;
    time_point sent_at{};

    friend bool operator==(const sent_document&, const sent_document&) = default;
};

/// The leader's knowledge of one process of an entry host.
struct entry_status
{
    availability_zone zone;
    /// Time at which this leader applied the process's admission.
    time_point admitted_at{};
    /// Latest time at which a lease of the process can expire.
    time_point lease_end{};
    time_point last_request_at{};
    /// Configuration version and view revision that the process reported last.
    configuration::configuration_version version = 0;
    protocol::view_revision revision = 0;
    /// Sequence number of the newest grant sent to the process.
    std::uint64_t last_grant_sequence = 0;
    /// The updates of the view in transit to the process, oldest first. Each needs those before it.
    std::vector<sent_document> sent_views;
    /// Other documents in transit to the process.
    std::optional<sent_document> sent_servers;
    std::optional<sent_document> sent_relay_plan;
    std::optional<sent_document> sent_configuration;
    /// Earliest time for the next configuration.
    time_point next_configuration_at{};
    /// Address at which the process runs statements for other entry hosts; empty without a relay.
    std::optional<protocol::endpoint> relay_address;
    bool is_stopping = false;
    /// A newer process of the same host has been admitted or has sent a lease request.
    bool is_replaced = false;

    friend bool operator==(const entry_status&, const entry_status&) = default;
};

/// One entry host's share of the connections to a backend server.
struct connection_use
{
    /// Upper bound of the connections that the entry host may hold until its next lease request.
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;

    friend bool operator==(const connection_use&, const connection_use&) = default;
};

/// The last report of a backend server.
struct server_status
{
    protocol::server_report report;
    time_point last_report_at{};
    /// Time at which a follow order was last sent to the server.
    time_point follow_sent_at{};

    friend bool operator==(const server_status&, const server_status&) = default;
};

/// A lease request that waits for a majority to confirm the leader, or for the sender's admission.
struct pending_lease_request
{
    protocol::lease_request request;
    /// The confirmation has to come from a round after this one.
    consensus::round_number after_round = 0;
    time_point received_at{};

    friend bool operator==(const pending_lease_request&, const pending_lease_request&) = default;
};

/// The stage that a change of primary has reached. An unplanned change starts with `confirming`, a planned
/// one with `holding`.
enum class primary_change_stage
{
    /// Entry hosts probe the primary to confirm that it is lost.
    confirming,
    /// Planned change: entry hosts finish writes in flight and hold back new ones.
    holding,
    /// Planned change: the target replicates up to the primary's position.
    catching_up,
    /// `close_term` is proposed and not committed yet.
    closing,
    /// Each entry host with a lease confirms that the term is closed, or its lease expires.
    revoking,
    /// Candidates are probed for their positions.
    collecting_positions,
    /// `name_candidate` is proposed and not committed yet.
    naming_candidate,
    /// The candidate is ordered to become primary.
    promoting,
    /// `open_term` is proposed and not committed yet.
    opening
};

/// Times at which a change of primary finished its stages, for the log record `primary_changed`.
struct primary_change_times
{
    time_point suspected{};
    time_point confirmed{};
    time_point revoked{};
    time_point collected{};
    time_point promoted{};

    friend bool operator==(const primary_change_times&, const primary_change_times&) = default;
};

/// One change of primary in progress.
struct primary_change
{
    primary_change_stage stage = primary_change_stage::confirming;
    protocol::group_term term = 0;
    std::string reason;
    /// The current primary is not known to be lost and remains a candidate.
    bool is_primary_candidate = false;
    /// The change is meant to move the primary role away from a primary that still answers.
    bool replaces_primary = false;
    /// The server that a planned change promotes; cleared when that server can't take over.
    std::optional<backend_server_name> target;
    time_point stage_entered_at{};
    time_point last_request_sent_at{};
    primary_change_times times;
    /// Number of the latest probe; a report with another number is ignored.
    std::uint64_t probe_id = 0;
    /// Entry hosts that were ordered to probe the primary, and those whose probes failed or succeeded.
    std::set<host_name> probing_hosts;
    std::set<host_name> hosts_reporting_loss;
    std::set<host_name> hosts_reporting_service;
    /// Entry hosts that have not confirmed the close order and may hold a lease.
    std::set<entry_process_id> unconfirmed_entries;
    /// Newest position that a confirming entry host has acknowledged to a caller.
    session_token::group_position acknowledged;
    /// Entry hosts without a lease that have not confirmed the close request. While there are any,
    /// `acknowledged` may be too low.
    std::set<entry_process_id> silent_entries;
    /// Newest report of each probed server.
    std::map<backend_server_name, protocol::server_report> positions;
    /// Number of times that the candidates were probed for their positions.
    std::size_t position_rounds = 0;
    backend_server_name candidate;
    protocol::group_term next_term = 0;
    /// Log position at which the next term starts.
    protocol::log_position start_position = 0;
    /// Number of the latest takeover or promotion order.
    std::uint64_t request_id = 0;
    /// Failed takeover orders to the candidate.
    int attempts = 0;
    /// The latest promotion order went to the platform. It is not made while the leader's position is in
    /// doubt.
    bool was_order_sent = false;
    bool is_promotion_accepted = false;

    friend bool operator==(const primary_change&, const primary_change&) = default;
};

/// An entry host that waits for the result of a proposed claim command.
struct claim_sender
{
    host_name entry;
    std::uint64_t call_id = 0;

    friend bool operator==(const claim_sender&, const claim_sender&) = default;
};

/// A probe of a primary for a position that bounds the commits of dismissed entry hosts.
struct commit_bound_probe
{
    std::uint64_t probe_id = 0;
    protocol::group_term term = 0;
    /// `directory::departed_commits::unreported` when the probe was sent.
    std::uint64_t unreported = 0;
    time_point sent_at{};

    friend bool operator==(const commit_bound_probe&, const commit_bound_probe&) = default;
};

/// An operator who waits for the result of a proposed configuration.
struct operator_sender
{
    std::uint64_t request = 0;

    friend bool operator==(const operator_sender&, const operator_sender&) = default;
};

/// The sender that gets the result of a proposed command; empty when the leader proposed it by itself.
using command_sender = std::variant<std::monostate, claim_sender, operator_sender>;

/// An operator request whose accepted change is not yet in force on every live entry host.
struct pending_change_answer
{
    std::uint64_t request = 0;
    configuration::configuration_version version = 0;
    time_point give_up_at{};

    friend bool operator==(const pending_change_answer&, const pending_change_answer&) = default;
};

/// An operator's read of the configuration that waits for a majority to confirm the leader.
struct pending_configuration_read
{
    std::uint64_t request = 0;
    /// The confirmation has to come from a round after this one.
    consensus::round_number after_round = 0;

    friend bool operator==(const pending_configuration_read&, const pending_configuration_read&) = default;
};

/// The complete state of supervision. A control host that does not lead only tracks the view revision.
struct supervision_state
{
    bool is_leading = false;
    time_point leading_since{};
    protocol::view_revision revision = 0;
    shared_map<entry_process_id, entry_status> entry_hosts;
    shared_map<backend_server_name, server_status> servers;
    std::map<backend_server_name, std::map<entry_process_id, connection_use>> connection_uses;
    /// Reverse index of `connection_uses`.
    std::map<entry_process_id, std::set<backend_server_name>> used_servers;
    /// The customers' limits, as divided among the entry hosts.
    limits::quota_allocator quotas;
    /// Largest number of entry hosts that this leader has known at once.
    std::uint32_t most_entry_hosts = 0;
    /// Entry hosts in the directory that have not sent a lease request to this leader.
    std::set<entry_process_id> unheard_entries;
    /// The region of each availability zone, as entry hosts have reported it.
    std::map<availability_zone, region_name> regions;
    /// Entry hosts whose admission or dismissal is proposed and not committed yet.
    std::set<entry_process_id> proposed_admissions;
    std::set<entry_process_id> proposed_dismissals;
    /// In the order of their arrival, and so of `after_round`; one for each entry host's process.
    std::deque<pending_lease_request> pending_lease_requests;
    /// The live entry hosts with a relay, and the configuration version, from which `connection_holders` was
    /// computed.
    std::vector<protocol::relay_host> relay_hosts;
    configuration::configuration_version relay_plan_version = 0;
    time_point next_relay_plan_at{};
    /// The entry hosts that open connections to each group's servers, and their hash.
    std::map<group_name, std::vector<protocol::relay_host>> connection_holders;
    std::uint64_t holders_digest = 0;
    shared_map<group_name, primary_change> primary_changes;
    /// Servers with the session interface that have not carried out the follow order of the last change.
    std::set<backend_server_name> pending_followers;
    /// Time at which each entry host last reported that commits wait for the replicas.
    std::map<group_name, std::map<host_name, time_point>> stall_reports;
    /// Earliest time for the next automatic change of primary in each group.
    shared_map<group_name, time_point> paused_until;
    /// Earliest time for the next change of a primary that still answers, in each group.
    shared_map<group_name, time_point> replacement_paused_until;
    /// The latest probe for a bound of departed commits, by group.
    std::map<group_name, commit_bound_probe> commit_bound_probes;
    /// Servers whose newest report has not been sent to entry hosts.
    std::set<backend_server_name> unsent_reports;
    /// Highest configuration version that this leader has proposed.
    configuration::configuration_version proposed_version = 0;
    /// Versions that entry hosts may hold, as they hold them.
    std::map<configuration::configuration_version, shared_value<configuration::versioned_configuration>>
        recent_configurations;
    /// Differences from these versions to the current one.
    std::map<configuration::configuration_version, shared_value<configuration::configuration_difference>>
        differences;
    std::vector<pending_change_answer> pending_change_answers;
    std::vector<pending_configuration_read> pending_configuration_reads;
    /// Next number for a probe or an order; unique among all leaderships.
    std::uint64_t next_number = 1;
    time_point next_claim_expiry_at{};

    friend bool operator==(const supervision_state&, const supervision_state&) = default;
};

/// Read-only inputs of supervision: the other parts of the control host, and the current time.
struct supervision_inputs
{
    const directory::directory_state& directory;
    const consensus::consensus_state& consensus;
    time_point now{};
    unix_milliseconds wall_time{0};
    /// The directory reflects all entries of earlier leaders. A host that has restarted applies them one by
    /// one.
    bool is_directory_current = true;
    limits::limit_bounds limit_bounds{};
};

/// A message from an entry host or from another control host.
struct message_received
{
    host_name sender;
    protocol::message content;

    friend bool operator==(const message_received&, const message_received&) = default;
};

/// A committed command and its result.
struct command_applied
{
    consensus::log_index index = 0;
    directory::command command;
    directory::command_result result;
    command_sender sender;

    friend bool operator==(const command_applied&, const command_applied&) = default;
};

/// An operator's change of the configuration, based on a known version.
struct configuration_change_requested
{
    std::uint64_t request = 0;
    directory::change_configuration change;

    friend bool operator==(const configuration_change_requested&,
                           const configuration_change_requested&) = default;
};

/// An operator's complete configuration, under a version that the operator chose.
struct configuration_replacement_requested
{
    std::uint64_t request = 0;
    directory::replace_configuration change;

    friend bool operator==(const configuration_replacement_requested&,
                           const configuration_replacement_requested&) = default;
};

/// A report that a backend server sent to this control host directly.
struct server_report_received
{
    protocol::server_report report;

    friend bool operator==(const server_report_received&, const server_report_received&) = default;
};

enum class promotion_outcome
{
    accepted,
    /// The named server is not running.
    not_running,
    /// The platform refused the order or did not answer.
    unknown
};

/// The platform's answer to a promotion order.
struct promotion_response_received
{
    std::uint64_t request_id = 0;
    group_name group;
    promotion_outcome outcome = promotion_outcome::unknown;

    friend bool operator==(const promotion_response_received&, const promotion_response_received&) = default;
};

/// An operator's request for a planned change of primary.
struct primary_switch_requested
{
    std::uint64_t request = 0;
    group_name group;
    backend_server_name target;

    friend bool operator==(const primary_switch_requested&, const primary_switch_requested&) = default;
};

/// An operator's request for the status.
struct status_requested
{
    std::uint64_t request = 0;

    friend bool operator==(const status_requested&, const status_requested&) = default;
};

/// An operator's request for the current configuration.
struct configuration_requested
{
    std::uint64_t request = 0;

    friend bool operator==(const configuration_requested&, const configuration_requested&) = default;
};

/// A timer event, once in each `supervision_interval`.
struct timer_expired
{
    friend bool operator==(const timer_expired&, const timer_expired&) = default;
};

/// The replicated log advanced, or leadership changed.
struct log_advanced
{
    friend bool operator==(const log_advanced&, const log_advanced&) = default;
};

using supervision_event = std::variant<message_received, command_applied, configuration_change_requested,
                                       configuration_replacement_requested, primary_switch_requested,
                                       status_requested, configuration_requested, server_report_received,
                                       promotion_response_received, timer_expired, log_advanced>;

/// Sends a message to one entry host, or to all with a live lease when `recipient` is empty.
struct send_to_entry_host
{
    host_name recipient;
    protocol::message content;

    friend bool operator==(const send_to_entry_host&, const send_to_entry_host&) = default;
};

/// Proposes a command for the replicated log.
struct propose_command
{
    directory::command command;
    command_sender sender;

    friend bool operator==(const propose_command&, const propose_command&) = default;
};

/// Forwards a message to another control host.
struct send_to_control_host
{
    host_name recipient;
    protocol::message content;

    friend bool operator==(const send_to_control_host&, const send_to_control_host&) = default;
};

/// Asks the platform to make the server its group's primary.
struct request_promotion
{
    std::uint64_t request_id = 0;
    group_name group;
    backend_server_name server;
    /// The control host that issues the order.
    host_name issuer;
    /// Log term of the leader that issues the order; higher for each later leader.
    std::uint64_t fencing_token = 0;
    /// The order must not be sent after this time.
    time_point valid_until{};

    friend bool operator==(const request_promotion&, const request_promotion&) = default;
};

/// The status of one process of an entry host.
struct entry_summary
{
    host_name name;
    incarnation_id incarnation;
    availability_zone zone;
    bool is_live = false;
    configuration::configuration_version version = 0;

    friend bool operator==(const entry_summary&, const entry_summary&) = default;
};

/// The status of one database group.
struct group_summary
{
    group_name name;
    directory::group_record record;
    /// Name of the stage of a change in progress, or empty.
    std::string change;

    friend bool operator==(const group_summary&, const group_summary&) = default;
};

/// The status of the system as one control host knows it.
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

/// The request was not carried out. `leader` is the control host to ask instead, if known.
struct refused_response
{
    std::string reason;
    std::optional<host_name> leader;

    friend bool operator==(const refused_response&, const refused_response&) = default;
};

/// The result of a change of configuration.
struct configuration_change_response
{
    directory::change_outcome outcome = directory::change_outcome::conflict;
    /// The version that the change made, or the version that it conflicts with.
    configuration::configuration_version version = 0;
    bool is_in_force = false;
    /// Entry hosts with a lease that have not confirmed the version.
    std::vector<host_name> unconfirmed_hosts;

    friend bool operator==(const configuration_change_response&,
                           const configuration_change_response&) = default;
};

/// The result of a request for a planned change of primary.
struct primary_switch_response
{
    group_name group;
    bool is_started = false;

    friend bool operator==(const primary_switch_response&, const primary_switch_response&) = default;
};

/// The current configuration.
struct configuration_response
{
    configuration::versioned_configuration configuration;

    friend bool operator==(const configuration_response&, const configuration_response&) = default;
};

using operator_response = std::variant<refused_response, configuration_change_response,
                                       primary_switch_response, status_summary, configuration_response>;

/// Sends the answer to an operator's request.
struct send_operator_response
{
    std::uint64_t request = 0;
    operator_response response;

    friend bool operator==(const send_operator_response&, const send_operator_response&) = default;
};

using supervision_effect = std::variant<send_to_entry_host, send_to_control_host, propose_command,
                                        send_operator_response, request_promotion, logging::log_record>;

struct supervision_transition
{
    supervision_state state;
    std::vector<supervision_effect> effects;

    friend bool operator==(const supervision_transition&, const supervision_transition&) = default;
};

} // namespace hickorymount::supervision
