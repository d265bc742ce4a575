#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "directory/types.h"
#include "limits/renewal_pace.h"
#include "logging/types.h"
#include "protocol/types.h"
#include "session_token/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The decisions of an entry host: which backend server runs each request, and whether the result may be
/// returned.
namespace hickorymount::routing {

using directory::entry_process_id;
using protocol::group_term;

/// Identifies a request; unique within one run of an entry host.
using request_number = std::uint64_t;
/// Identifies a connection to a backend server; unique within one run of an entry host.
using connection_number = std::uint64_t;

/// Interval between renewal requests while the lease is valid.
inline constexpr milliseconds lease_renewal_interval{400};
/// An entry host to which control grants no connection to a group for this long refuses the group's requests.
/// Shares are redistributed with the lease renewals of the other hosts, which takes two of them.
inline constexpr milliseconds share_wait_limit{1000};
/// Interval between lease requests without a valid lease. The interval grows with the number of unanswered
/// requests up to `max_lease_retry_interval`, since every entry host retries when all control hosts are down.
inline constexpr milliseconds lease_retry_interval{150};
inline constexpr milliseconds max_lease_retry_interval{600};
/// After this time without a grant or a hint of the leader, the leader counts as unknown.
inline constexpr milliseconds leader_timeout{600};
/// Number of control hosts that get each message while the leader is unknown. The number is limited because
/// every entry host searches at the same time when the leader fails.
inline constexpr std::size_t leader_search_fanout = 3;
/// An entry host confirms a new configuration after a delay below this limit that depends on its name, so
/// that the entry hosts do not all confirm at once.
inline constexpr milliseconds confirmation_jitter{200};
/// Subtracted from the duration of a lease, since the clock rate of each host may be off by 1%.
inline constexpr milliseconds lease_drift_margin{40};
/// Reports of backend servers are forwarded to control in batches at this interval.
inline constexpr milliseconds report_batch_interval{20};
/// A statement without an answer for this long marks the primary as suspect.
inline constexpr milliseconds slow_statement_threshold{300};
/// Minimum time between two reports to control about the same primary.
inline constexpr milliseconds suspicion_report_interval{200};
/// A claim, or an update of one, that control has not answered is sent again after this time.
inline constexpr milliseconds claim_resend_interval{250};
/// Interval at which replicas are asked for their log position while a write waits for replication.
inline constexpr milliseconds position_poll_interval{5};
/// A backend server that refused a statement gets no new statements for this long.
inline constexpr milliseconds refusal_backoff{20};
/// Delay before new connections after a failed attempt to connect.
inline constexpr milliseconds connection_retry_delay{500};
/// A transaction without a statement for this long is rolled back.
inline constexpr milliseconds transaction_idle_timeout{10'000};
/// Maximum time that writes are held for a planned change of primary; the entry host then resumes them
/// without an order from control.
inline constexpr milliseconds max_hold_duration{4000};
/// A backend server without a report for this long gets no reads and no new connections.
inline constexpr milliseconds report_timeout{1000};
/// A backend server without a report for this long is removed from the state.
inline constexpr milliseconds server_expiry{60'000};
/// Added to the retention of claims, since the clocks of caller and hosts may differ.
inline constexpr milliseconds key_clock_tolerance{600'000};
inline constexpr milliseconds max_statement_timeout{10'000};
/// A statement that may have run is not sent again after this many attempts.
inline constexpr int max_attempts = 8;
/// Taken from the retry budget for each retry of a statement that may have run; each request adds 1 to the
/// budget.
inline constexpr std::int64_t retry_cost = 10;
inline constexpr std::int64_t max_retry_budget = 500;

/// The operation that a caller requests.
enum class operation_kind
{
    run,
    begin,
    commit,
    rollback
};

/// Event: a caller has sent a request. It is independent of the protocol on which it arrived.
struct caller_request
{
    request_number request = 0;
    group_name group;
    class_name request_class;
    operation_kind operation = operation_kind::run;
    std::string statement;
    std::optional<transaction_id> transaction;
    session_token::token token;
    std::optional<request_key> key;
    /// The caller's time limit; zero applies the deadline of the class.
    milliseconds timeout{0};

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// Why a request was refused without running.
enum class refusal_reason
{
    draining,
    not_ready,
    unknown_group,
    unknown_class,
    class_not_allowed,
    deadline_passed,
    queue_full,
    /// Control has granted all connections to the group's servers to other entry hosts.
    no_connection_granted,
    session_position_lost,
    transaction_elsewhere,
    transaction_ended,
    transaction_busy,
    key_missing,
    key_malformed,
    key_too_old,
    key_reused,
    key_not_allowed,
    control_unavailable
};

/// The response to a request that has completed.
struct caller_response
{
    std::string body;
    session_token::token token;
    backend_server_name served_by;
    protocol::server_role role = protocol::server_role::primary;
    std::optional<transaction_id> transaction;
    /// The response was recorded for an earlier request with the same key.
    bool is_repeated = false;
    /// The response must be sent before this time; empty for no limit.
    std::optional<time_point> valid_until;

    friend bool operator==(const caller_response&, const caller_response&) = default;
};

/// The request did not run, and had no effect.
struct not_run
{
    refusal_reason reason = refusal_reason::not_ready;
    /// The processing step that refused the request, as logged.
    std::string step;
    /// The host or backend server concerned; empty for none.
    std::string peer;
    std::string detail;
    /// Replaces the session token of the caller, if set.
    std::optional<session_token::token> token;

    friend bool operator==(const not_run&, const not_run&) = default;
};

/// The request may have run; its result is not known.
struct outcome_unknown
{
    std::string step;
    std::string peer;
    std::string detail;

    friend bool operator==(const outcome_unknown&, const outcome_unknown&) = default;
};

using caller_outcome = std::variant<caller_response, not_run, outcome_unknown>;

/// The stages of a request, in their usual order.
enum class request_stage
{
    /// The request waits for control to confirm the claim on its key.
    claiming,
    queued,
    running,
    /// The primary has run the write, and no replica has confirmed it yet.
    replicating
};

/// A request without an outcome so far.
struct request_state
{
    caller_request input;
    configuration::class_settings settings;
    request_stage stage = request_stage::queued;
    time_point received_at{};
    time_point deadline{};
    int attempts = 0;
    backend_server_name server;
    connection_number connection = 0;
    group_term term = 0;
    time_point sent_at{};
    /// Backend servers that refused the request, or returned data older than it requires.
    std::set<backend_server_name> lagging_servers;
    /// The response of the primary, held until a replica confirms the write.
    std::optional<caller_response> pending_answer;
    /// The log position of the write, as the primary reported it.
    session_token::group_position write_position;
    bool is_claimed = false;
    /// The number of the call to control that claims the key; zero without a claim.
    std::uint64_t claim_call_number = 0;
    /// An earlier attempt was sent and may have run.
    bool may_have_run = false;

    friend bool operator==(const request_state&, const request_state&) = default;
};

/// The connections of this entry host to one backend server.
struct connection_pool
{
    /// Number of connections that the lease allows this entry host.
    std::uint32_t share = 0;
    /// Time of the first of the grants in a row that allow none.
    std::optional<time_point> no_share_since;
    std::vector<connection_number> idle;
    std::set<connection_number> busy;
    std::set<connection_number> opening;
    /// Connections to be closed, until the close is confirmed.
    std::set<connection_number> closing;
    /// Maximum number of busy connections since the last lease request.
    std::uint32_t peak_busy = 0;
    /// No connection is opened before this time, after a failed attempt.
    time_point open_not_before{};

    friend bool operator==(const connection_pool&, const connection_pool&) = default;
};

/// A backend server as this entry host knows it.
struct server_state
{
    protocol::server_report report;
    /// When the last report arrived.
    time_point last_report_at{};
    /// Log records per second, averaged over the reports.
    std::int64_t records_per_second = 0;
    /// The server gets no statements before this time, because it refused one.
    time_point avoid_until{};
    /// The connection with an unanswered query for the log position; zero for none.
    connection_number position_query_connection = 0;
    connection_pool connections;

    friend bool operator==(const server_state&, const server_state&) = default;
};

/// A database group as this entry host knows it.
struct group_state
{
    directory::group_record record;
    /// Writes of this term and of earlier terms are no longer acknowledged.
    group_term closed_term = 0;
    /// Writes of this term are held for a planned change of primary; zero for none.
    group_term held_term = 0;
    time_point hold_started_at{};
    bool is_hold_confirmed = false;
    time_point last_suspicion_report{};
    std::set<backend_server_name> members;
    /// Requests that wait for a connection, in order of arrival.
    std::vector<request_number> queue;

    friend bool operator==(const group_state&, const group_state&) = default;
};

/// An open transaction, bound to one connection to the primary.
struct transaction_state
{
    group_name group;
    class_name request_class;
    backend_server_name server;
    connection_number connection = 0;
    group_term term = 0;
    /// A statement of the transaction is running.
    bool is_busy = false;
    time_point last_used{};

    friend bool operator==(const transaction_state&, const transaction_state&) = default;
};

enum class timer_kind
{
    deadline,
    slow_statement,
    claim_resend,
    queue_retry,
    transaction_idle,
    position_poll
};

/// A timer of a request, a group or a transaction. Timers are not cancelled: one that no longer applies is
/// ignored when it expires.
struct timer
{
    time_point at{};
    timer_kind kind = timer_kind::deadline;
    request_number request = 0;
    group_name group;
    transaction_id transaction;

    friend auto operator<=>(const timer&, const timer&) = default;
    friend bool operator==(const timer&, const timer&) = default;
};

/// The connections of the traffic thread to one backend server.
struct connection_usage
{
    std::uint32_t open = 0;
    /// Maximum number in use at once since the last report, plus the number of waiting statements.
    std::uint32_t wanted = 0;

    friend bool operator==(const connection_usage&, const connection_usage&) = default;
};

/// A request of control to close a term that this entry host has not confirmed yet.
struct pending_close_order
{
    host_name requester;
    group_term term = 0;

    friend bool operator==(const pending_close_order&, const pending_close_order&) = default;
};

/// Progress of the traffic thread in completing the work of a held term.
struct hold_progress
{
    group_term term = 0;
    /// Number of statements and transactions at the primary.
    std::uint32_t in_flight = 0;

    friend bool operator==(const hold_progress&, const hold_progress&) = default;
};

/// The lease of this entry host, which control grants and renews.
struct lease_state
{
    time_point valid_until{};
    std::uint64_t next_sequence = 1;
    /// Highest sequence number of the grants received.
    std::uint64_t granted_sequence = 0;
    /// The send time of each unanswered request, by sequence number.
    std::map<std::uint64_t, time_point> send_times;
    time_point renew_at{};
    time_point last_grant{};
    /// When this entry host last followed a hint from a control host that named the leader.
    time_point leader_hint_at{};
    /// The control host to which all requests from `recipient_since` on were sent; empty while the leader is
    /// unknown.
    std::optional<host_name> recipient;
    std::uint64_t recipient_since = 0;
    time_point last_request_at{};
    /// Limits the early renewals for the quotas of customers.
    limits::renewal_pace quota_renewals;
    /// Number of requests since the last grant.
    int unanswered = 0;
    /// Number of grants that did not count because this entry host lacked the revision that they require.
    std::uint64_t grants_without_view = 0;
    /// The last grant did not count, and the view was requested at once.
    bool is_view_requested = false;
    /// Whether the lease was valid at the last check; used to detect its loss.
    bool was_valid = false;

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

/// The result or the withdrawal of a claim that control has not confirmed yet.
struct pending_claim_update
{
    protocol::claim_request call;
    time_point resend_at{};
    time_point give_up_at{};

    friend bool operator==(const pending_claim_update&, const pending_claim_update&) = default;
};

/// The whole control state of an entry host.
struct entry_state
{
    entry_process_id self;
    availability_zone zone;
    std::optional<region_name> region;
    std::vector<host_name> control_hosts;
    std::optional<host_name> leader;
    /// Index in `control_hosts` of the first host to contact while the leader is unknown.
    std::size_t next_control_host = 0;
    shared_value<configuration::versioned_configuration> configuration;
    protocol::view_revision revision = 0;
    shared_map<group_name, group_state> groups;
    shared_map<backend_server_name, server_state> servers;
    std::map<backend_server_name, connection_usage> connection_usages;
    /// The newest commit that the traffic thread has acknowledged, by group.
    std::map<group_name, session_token::group_position> session_commits;
    std::map<group_name, hold_progress> session_hold_progress;
    /// The newest closed term that the traffic thread has seen, by group.
    std::map<group_name, group_term> session_closed_terms;
    /// Tolerances of the customers' limits, from the settings.
    limits::limit_bounds limit_bounds;
    /// What the traffic thread has reported about the customers with a limit.
    limits::customer_demands customer_demands;
    shared_value<limits::host_quotas> quotas;
    /// This process has a traffic thread, which may use the primaries of all groups.
    bool has_traffic_thread = false;
    /// Close requests that wait until the traffic thread has seen the closed term.
    std::map<group_name, pending_close_order> pending_close_orders;
    /// Time of the last report to control that the commits of the primary are stalled, by group.
    std::map<group_name, time_point> last_stall_reports;
    lease_state lease;
    /// The address at which this entry host runs statements for other entry hosts; empty if it does not.
    std::optional<protocol::endpoint> relay_address;
    shared_value<protocol::relay_plan> relay_plan;
    /// The process is closing its sessions, and control should assign it no more work of other entry hosts.
    bool is_shutting_down = false;
    shared_map<request_number, request_state> requests;
    /// Number of queued requests of each class, by group.
    shared_map<std::pair<group_name, class_name>, std::uint32_t> queued_counts;
    shared_map<transaction_id, transaction_state> transactions;
    shared_map<timer, bool> timers;
    /// Claims without an answer from control, by the number of the call.
    shared_map<std::uint64_t, request_number> pending_claims;
    /// Results and withdrawals of claims without an answer from control, by the number of the call.
    shared_map<std::uint64_t, pending_claim_update> pending_claim_updates;
    /// Reports of backend servers that will be forwarded to control in the next batch.
    std::map<backend_server_name, protocol::server_report> unsent_reports;
    time_point send_reports_at{};
    /// Groups whose writes are held for a planned change of primary.
    std::set<group_name> held_groups;
    /// The next number for a call to control or a connection.
    std::uint64_t next_number = 1;
    /// Limits the load from retries: each request adds 1, and each retry takes `retry_cost`.
    std::int64_t retry_budget = max_retry_budget;
    /// New requests are refused; the ones in flight run to their end.
    bool is_draining = false;
    /// No further commit of a session is acknowledged.
    bool are_commits_final = true;
    bool is_drained = false;

    friend bool operator==(const entry_state&, const entry_state&) = default;
};

/// Event: the process has started.
struct entry_started
{
    entry_process_id self;
    availability_zone zone;
    std::vector<host_name> control_hosts;
    /// The address at which this entry host runs statements for other entry hosts; empty if it does not.
    std::optional<protocol::endpoint> relay_address{};
    bool has_traffic_thread = false;
    std::optional<region_name> region{};
    limits::limit_bounds limit_bounds{};

    friend bool operator==(const entry_started&, const entry_started&) = default;
};

/// Event: a message from a control host has arrived.
struct control_message_received
{
    host_name sender;
    protocol::message content;

    friend bool operator==(const control_message_received&, const control_message_received&) = default;
};

/// Event: the connection to a control host has been established.
struct control_connected
{
    host_name control_host;

    friend bool operator==(const control_connected&, const control_connected&) = default;
};

/// Event: a backend server has reported its state to this entry host.
struct server_report_received
{
    protocol::server_report report;

    friend bool operator==(const server_report_received&, const server_report_received&) = default;
};

/// Event: the backend server ran the statement and returned a complete result.
struct statement_completed
{
    request_number request = 0;
    connection_number connection = 0;
    /// The log position at which the statement ran.
    session_token::group_position position;
    /// How far the data of the backend server lags, in milliseconds.
    milliseconds data_age{0};
    std::string body;

    friend bool operator==(const statement_completed&, const statement_completed&) = default;
};

/// Why a backend server refused a statement.
enum class server_refusal_reason
{
    leaving,
    not_primary,
    wrong_term,
    behind,
    busy,
    too_many_connections,
    no_transaction
};

/// Event: the backend server refused the statement without running it. The connection remains usable.
struct statement_refused
{
    request_number request = 0;
    connection_number connection = 0;
    server_refusal_reason reason = server_refusal_reason::busy;
    session_token::group_position position;

    friend bool operator==(const statement_refused&, const statement_refused&) = default;
};

/// Event: the statement was not sent because the connection was lost.
struct statement_not_sent
{
    request_number request = 0;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const statement_not_sent&, const statement_not_sent&) = default;
};

/// Event: the statement was sent, and the connection was lost before the complete result arrived.
struct statement_connection_lost
{
    request_number request = 0;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const statement_connection_lost&, const statement_connection_lost&) = default;
};

/// Event: a backend server answered `request_position`.
struct position_received
{
    connection_number connection = 0;
    protocol::server_report report;

    friend bool operator==(const position_received&, const position_received&) = default;
};

/// Event: a connection to a backend server is open.
struct connection_opened
{
    backend_server_name server;
    connection_number connection = 0;

    friend bool operator==(const connection_opened&, const connection_opened&) = default;
};

/// Event: a connection could not be opened, or was closed.
struct connection_closed
{
    backend_server_name server;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const connection_closed&, const connection_closed&) = default;
};

/// Event: a probe of a backend server has finished.
struct probe_finished
{
    /// The control host that requested the probe.
    host_name requester;
    protocol::probe_response response;

    friend bool operator==(const probe_finished&, const probe_finished&) = default;
};

/// Event: a role change request to a backend server has finished.
struct role_change_finished
{
    /// The control host that sent the request.
    host_name requester;
    protocol::role_change_response response;

    friend bool operator==(const role_change_finished&, const role_change_finished&) = default;
};

/// Event: `entry_transition::next_timer_at` has been reached.
struct timer_expired
{
    friend bool operator==(const timer_expired&, const timer_expired&) = default;
};

/// Event: the periodic report of the traffic thread.
struct traffic_reported
{
    std::map<backend_server_name, connection_usage> connection_usages;
    /// The newest acknowledged commit of each group.
    std::map<group_name, session_token::group_position> acknowledged_commits;
    std::map<group_name, hold_progress> holds;
    /// The newest closed term that the traffic thread has seen, by group. It acknowledges no more commits of
    /// that term.
    std::map<group_name, group_term> closed_terms;
    limits::customer_demands customer_demands{};
    /// Some customer could use a larger quota now; the next renewal of the lease would be late.
    bool needs_quota = false;

    friend bool operator==(const traffic_reported&, const traffic_reported&) = default;
};

/// Event: the settings have changed and name these control hosts.
struct control_hosts_changed
{
    std::vector<host_name> hosts;

    friend bool operator==(const control_hosts_changed&, const control_hosts_changed&) = default;
};

/// Event: the traffic thread found a primary unresponsive or stalled.
struct primary_suspected
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// The primary answers, but its commits do not complete.
    bool are_commits_stalled = false;

    friend bool operator==(const primary_suspected&, const primary_suspected&) = default;
};

/// Event: the process is closing its sessions. The lease is kept until all sessions are closed.
struct shutdown_started
{
    friend bool operator==(const shutdown_started&, const shutdown_started&) = default;
};

/// Event: the entry host is to refuse new requests and complete the ones in flight.
struct drain_requested
{
    /// The traffic thread has no session left and has reported all commits that it acknowledged.
    bool are_commits_final = true;

    friend bool operator==(const drain_requested&, const drain_requested&) = default;
};

using entry_event_payload =
    std::variant<entry_started, control_message_received, control_connected, server_report_received,
                 caller_request, statement_completed, statement_refused, statement_not_sent,
                 statement_connection_lost, position_received, connection_opened, connection_closed,
                 probe_finished, role_change_finished, traffic_reported, primary_suspected,
                 control_hosts_changed, timer_expired, shutdown_started, drain_requested>;

/// An event of an entry host, with the time of its arrival.
struct entry_event
{
    /// Monotonic time.
    time_point now{};
    /// Wall-clock time, used only for request keys.
    unix_milliseconds wall_time{0};
    entry_event_payload payload;

    friend bool operator==(const entry_event&, const entry_event&) = default;
};

/// Effect: run a statement on an open connection.
struct run_statement
{
    request_number request = 0;
    backend_server_name server;
    connection_number connection = 0;
    operation_kind operation = operation_kind::run;
    configuration::statement_kind kind = configuration::statement_kind::read;
    bool is_in_transaction = false;
    std::string statement;
    group_term term = 0;
    /// Minimum log position; a backend server that has not reached it refuses the statement.
    protocol::log_position minimum_position = 0;
    milliseconds timeout{0};

    friend bool operator==(const run_statement&, const run_statement&) = default;
};

/// Effect: ask a backend server for its log position on an open connection.
struct request_position
{
    backend_server_name server;
    connection_number connection = 0;

    friend bool operator==(const request_position&, const request_position&) = default;
};

/// Effect: open a connection to a backend server.
struct open_connection
{
    backend_server_name server;
    protocol::endpoint address;
    connection_number connection = 0;

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

/// Effect: close a connection; a statement that runs on it is abandoned.
struct close_connection
{
    connection_number connection = 0;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

/// Effect: send a message to one control host.
struct send_to_control
{
    host_name recipient;
    protocol::message content;

    friend bool operator==(const send_to_control&, const send_to_control&) = default;
};

/// Effect: send the outcome of a request to the caller.
struct send_response
{
    request_number request = 0;
    caller_outcome outcome;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// Effect: probe a backend server and report the result.
struct probe_server
{
    /// The control host that requested the probe.
    host_name requester;
    protocol::probe_request request;

    friend bool operator==(const probe_server&, const probe_server&) = default;
};

/// Effect: send a role change request to a backend server and report the result.
struct send_role_change
{
    /// The control host that sent the request.
    host_name requester;
    protocol::role_change_request request;

    friend bool operator==(const send_role_change&, const send_role_change&) = default;
};

/// Effect: report that the drain is complete, with no request in flight and the lease returned.
struct report_drained
{
    friend bool operator==(const report_drained&, const report_drained&) = default;
};

using entry_effect =
    std::variant<run_statement, request_position, open_connection, close_connection, send_to_control,
                 send_response, probe_server, send_role_change, report_drained, logging::log_record>;

/// The result of `reduce`: the next state and the effects to carry out.
struct entry_transition
{
    entry_state state;
    std::vector<entry_effect> effects;
    /// When the next `timer_expired` event is due.
    time_point next_timer_at{};

    friend bool operator==(const entry_transition&, const entry_transition&) = default;
};

} // namespace hickorymount::routing
