#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "limits/customer_budgets.h"
#include "logging/types.h"
#include "sessions/answer_history.h"
#include "sessions/check_schedule.h"
#include "sessions/concurrency_limit.h"
#include "sessions/drain_rate.h"
#include "sessions/response_times.h"
#include "sessions/retry_budget.h"
#include "sessions/server_health.h"
#include "sessions/statement.h"
#include "sessions/statement_queue.h"
#include "sessions/traffic_view.h"
#include "sessions/zone_overflow.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Callers' sessions and the pooled connections to backend servers: which server runs each statement, which
/// statements are retried, and which response the caller gets.
namespace hickorymount::sessions {

using connection_number = std::uint64_t;

/// Time limit for opening a connection to a backend server.
inline constexpr milliseconds connect_timeout{1000};
/// Time limit for a response to one of the proxy's internal statements; the connection is closed after it.
inline constexpr milliseconds internal_statement_timeout{600};
/// A primary that has not answered a statement for this long is reported as suspected. A full queue of the
/// slowest statements takes less time.
inline constexpr milliseconds primary_suspicion_timeout{400};
/// An unanswered read is retried on another server after this, if enough time remains before its deadline.
inline constexpr milliseconds read_retry_delay{350};
/// After a refusal, the backend server is ranked last for reads for this long, and a refused statement for
/// the primary waits this long before its retry.
inline constexpr milliseconds refusal_backoff{30};
/// Delay before the next connection attempt to a server after a failed or refused one.
inline constexpr milliseconds reconnect_backoff{300};
/// A statement that is still queued this long before its deadline is refused: a response would come too late.
inline constexpr milliseconds send_margin{40};
/// The load balancer may still open sessions for this long after the host stops reporting that it is ready.
inline constexpr milliseconds balancer_delay{2300};
/// Time reserved at the end of a stop for sending the last responses.
inline constexpr milliseconds stop_margin{800};
/// Interval between regular `report_to_control` effects.
inline constexpr milliseconds report_interval{400};
/// Interval between two checks of the statements that wait for a connection: for servers whose back-off has
/// ended, and for primaries that have become unreachable.
inline constexpr milliseconds queue_check_interval{100};
/// A leaving primary gets no new statements after this; the new primary has taken over by then.
inline constexpr milliseconds leaving_primary_timeout{5500};
/// A session that waits for the first configuration is refused after this.
inline constexpr milliseconds session_open_timeout{1800};
/// After this, an unreachable primary or a lost lease means that this host alone is isolated. Until then a
/// change of the primary, or of the control leader, may be in progress.
inline constexpr milliseconds isolation_delay{1500};
/// A commit unanswered for this long is stalled because the primary waits for its replicas. The longest queue
/// at a primary takes a third of this time.
inline constexpr milliseconds stalled_commit_timeout{600};
/// Time limit for opening a connection to another entry host. A round trip between regions takes a tenth of
/// it.
inline constexpr milliseconds relay_connect_timeout{250};
/// Another entry host that has sent no response for this long is treated as lost: a working one answers many
/// statements in that time.
inline constexpr milliseconds relay_silence_timeout{500};
/// An entry host that was treated as lost is not used for this long. Control detects the loss when the host's
/// lease of 2 s ends.
inline constexpr milliseconds relay_backoff{2000};
/// Maximum connections to one other entry host; each carries one statement or transaction at a time.
inline constexpr std::uint32_t max_relay_connections = 48;
inline constexpr std::size_t max_pipelined_statements = 64;
inline constexpr std::size_t max_prepared_statements = 256;
inline constexpr std::size_t max_session_variables = 256;

/// A prepared statement of a session; `template_text` is its text as the caller sent it.
struct prepared_statement
{
    bool is_read_only = false;
    std::string template_text;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// A statement as it was received, with the time of its arrival.
struct received_statement
{
    std::string id;
    statement body;
    time_point received_at{};
    /// For a statement relayed by another entry host: the position that a read must have reached.
    std::optional<group_position> minimum_position{};
    /// For a statement relayed by another entry host: whose it is, if that differs from the statement before.
    std::optional<relayed_caller> caller{};
    /// For a statement relayed by another entry host: the time left until its deadline there, if it was
    /// named.
    std::optional<milliseconds> remaining_time{};
    /// The line was not a valid statement. It is refused in its turn.
    bool is_malformed = false;

    friend bool operator==(const received_statement&, const received_statement&) = default;
};

/// A transaction that a session has begun and not ended.
struct open_transaction
{
    bool is_read_only = false;
    configuration::database_route route;
    /// Zero until its first statement runs.
    connection_number connection = 0;
    /// A statement of the transaction has run, so it can't move to another connection.
    bool has_run = false;
    bool has_written = false;
    bool is_failed = false;
    /// One of its writes may have been committed outside of it.
    bool is_outcome_unknown = false;
    /// The transaction has been counted as an operation of its customer.
    bool is_counted = false;
    /// The proxy ended the transaction because it was idle, and the caller has not been told yet.
    bool has_expired = false;
    /// For a transaction relayed by another entry host: the position that its reads must have reached.
    std::optional<group_position> minimum_position;
    time_point started_at{};
    time_point last_used_at{};

    friend bool operator==(const open_transaction&, const open_transaction&) = default;
};

enum class statement_stage
{
    queued,
    /// The connection is being set to the session's variables, transaction and prepared statements.
    preparing,
    running
};

/// What a queued statement waits for.
enum class wait_cause
{
    none,
    /// The lease has expired, so the primary can't be used.
    no_lease,
    /// The primary is unknown or is being replaced.
    no_primary,
    /// Control has granted this host no connection to a server that could run the statement.
    no_connection_granted,
    not_connected,
    /// All connections are in use, or the server accepts no more statements.
    servers_busy,
    no_relay_connected,
    relays_busy,
    /// Too much other work precedes the statement.
    too_much_work_ahead,
    /// The statement was refused by a server, and its customer's retry budget is used up.
    no_retry_left
};

std::string_view to_string(wait_cause cause);

/// The statement that a session waits for. Later statements of the session are queued behind it.
struct pending_statement
{
    received_statement request;
    configuration::database_route route;
    bool is_read_only = false;
    bool needs_primary = false;
    /// The position that the server's log must have reached for this read; set when a replica or another
    /// entry host is chosen.
    std::optional<group_position> minimum_position;
    time_point deadline{};
    time_point retry_at{};
    statement_stage stage = statement_stage::queued;
    connection_number connection = 0;
    /// The first write of a transaction, sent while it was in doubt whether the server had begun the
    /// transaction. Without one, the write commits by itself.
    bool may_run_outside = false;
    int attempts = 0;
    /// Servers that refused the statement or did not answer it.
    std::set<backend_server_name> tried_servers;
    time_point sent_at{};
    /// When it was sent for the first time, to a server or another entry host.
    std::optional<time_point> first_sent_at;
    /// Where the statement waits while it is in the queue.
    std::optional<queue_place> place;
    /// The statement is not sent before its operation is within the limit of its customer.
    bool awaits_quota = false;
    /// Set when the statement is refused in the queue, or instead of a retry.
    wait_cause waited_for = wait_cause::none;

    friend bool operator==(const pending_statement&, const pending_statement&) = default;
};

/// One open session of a caller, or of another entry host that relays statements.
struct caller_session
{
    std::string database;
    /// Digest of the key that the caller sent.
    key_digest key{};
    /// The customer whose statements the session runs; empty where callers need no key.
    customer_name customer{};
    std::map<std::string, std::string> variables;
    std::map<std::string, prepared_statement> prepared_statements;
    std::optional<open_transaction> transaction;
    std::optional<pending_statement> pending;
    std::deque<received_statement> pipelined_statements;
    /// Position of this session's newest commit, by group.
    std::map<group_name, group_position> commit_positions;
    std::optional<group_position> last_position;
    /// Opened by another entry host, which relays statements of several callers over it, one at a time.
    bool is_relayed = false;
    /// The check of the pending statement that is in the schedule.
    time_point next_check_at = time_point::max();

    friend bool operator==(const caller_session&, const caller_session&) = default;
};

enum class connection_stage
{
    opening,
    idle,
    /// One of the proxy's internal statements is unanswered.
    preparing,
    running,
    /// Held by a session, with no statement unanswered.
    reserved,
    /// A rollback is unanswered, and no session holds the connection.
    rolling_back
};

/// A connection to a backend server, or to another entry host that runs statements for this one.
struct server_connection
{
    /// Name of the backend server, or of the other entry host; the two kinds of names never coincide.
    backend_server_name server;
    group_name group;
    bool is_relay = false;
    /// Only for a connection to another entry host: the database of its session.
    std::string database;
    /// Only for a connection to a backend server: the customer that it serves.
    customer_name customer;
    /// Only for a connection to another entry host: whose statements that host takes the next ones to be.
    std::optional<relayed_caller> caller;
    connection_stage stage = connection_stage::opening;
    /// The session that holds the connection; zero when none does.
    session_number holder = 0;
    std::map<std::string, std::string> variables;
    std::set<std::string> prepared_statements;
    bool is_in_transaction = false;
    /// The unanswered internal statement, such as a `reset` or a `rollback`.
    std::optional<statement> internal_statement;
    time_point sent_at{};
    /// The group's term if the last statement was sent to the primary under a valid lease; otherwise zero.
    group_term sent_in_term = 0;
    time_point opened_at{};
    time_point idle_since{};
    /// The answers so far, by which a repeat is told from the answer to the unanswered statement.
    answer_history answers;
    /// The check of the connection that is in the schedule.
    time_point next_check_at = time_point::max();

    friend bool operator==(const server_connection&, const server_connection&) = default;
};

/// Log position that a primary reported in its response to a statement sent at `sent_at`.
struct position_sample
{
    time_point sent_at{};
    group_position position;

    friend bool operator==(const position_sample&, const position_sample&) = default;
};

/// A customer's place in the order of queued statements.
struct customer_rank
{
    std::uint32_t priority = 0;
    /// Its limit relative to the mean of all limits; 1 without a limit.
    double weight = 1;

    friend bool operator==(const customer_rank&, const customer_rank&) = default;
};

/// A session that waits for the first configuration.
struct opening_session
{
    std::string database;
    time_point requested_at{};
    bool is_relayed = false;
    key_digest key{};

    friend bool operator==(const opening_session&, const opening_session&) = default;
};

/// Load and health of one backend server, or of one entry host that runs statements for this one, as measured
/// by the traffic thread.
struct server_load
{
    bool is_relay = false;
    /// Time of the last response; only for another entry host.
    time_point last_response_at{};
    std::uint32_t open_connections = 0;
    std::uint32_t opening_connections = 0;
    std::uint32_t connections_in_use = 0;
    std::uint32_t peak_connections_in_use = 0;
    std::set<connection_number> idle_connections;
    /// Customers for which a connection is being opened.
    std::multiset<customer_name> opening_customers;
    /// Unanswered statements, including the proxy's internal ones.
    std::uint32_t in_flight = 0;
    concurrency_limit limit;
    response_times times;
    server_health health;
    time_point avoid_until{};
    time_point connect_after{};
    std::optional<time_point> leaving_since;
    /// Start of the first failed connection attempt since the last success.
    std::optional<time_point> unreachable_since;

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// Open connections to one server, and how many were needed since the last report.
struct connection_usage
{
    std::uint32_t open_connections = 0;
    std::uint32_t peak_needed = 0;

    friend bool operator==(const connection_usage&, const connection_usage&) = default;
};

/// Work left at a primary while new work for it is held back for a planned change of primary.
struct hold_progress
{
    group_term term = 0;
    /// Statements and open transactions at the primary.
    std::uint32_t in_flight = 0;

    friend bool operator==(const hold_progress&, const hold_progress&) = default;
};

/// The statements sent to a primary soon after a change of what this host believes about it are logged.
struct primary_use_trace
{
    time_point until{};
    /// Number of statements that may still be logged.
    std::uint32_t left = 0;

    friend bool operator==(const primary_use_trace&, const primary_use_trace&) = default;
};

/// Operations of one customer that were refused by its limit, for log records.
struct limit_refusals
{
    std::uint32_t since_last_log = 0;
    time_point next_log_at{};

    friend bool operator==(const limit_refusals&, const limit_refusals&) = default;
};

/// What this host remembers for choosing servers and relays for a group's statements.
struct group_selection
{
    /// When the group's servers are compared next.
    time_point next_comparison_at{};
    /// Reads that leave the own region, of those that run on this host's own connections.
    zone_overflow read_overflow;
    /// Statements that go to relays of other zones.
    zone_overflow relay_overflow;

    friend bool operator==(const group_selection&, const group_selection&) = default;
};

/// The whole state of the traffic thread; only `reduce` changes it.
struct session_state
{
    availability_zone zone;
    /// The region of each availability zone; empty if regions are not known.
    std::map<availability_zone, region_name> regions;
    shared_value<traffic_view> view;
    std::map<std::string, configuration::database_route> routes;
    /// The customers of the configuration in force, by the digests of their keys.
    std::map<key_digest, customer_name> customers_by_key;
    /// The operations that this host may start for customers with a limit.
    limits::customer_budgets budgets;
    std::map<customer_name, limit_refusals> limit_refusals_by_customer;
    /// Earliest time for the next report because of a quota.
    time_point next_quota_report_at{};
    std::map<customer_name, customer_rank> customer_ranks;
    /// Of callers without a customer, under an empty name.
    std::map<customer_name, retry_budget> retry_budgets;
    std::map<session_number, caller_session> sessions;
    /// Sessions that wait for the first configuration.
    std::map<session_number, opening_session> opening_sessions;
    std::map<connection_number, server_connection> connections;
    std::map<backend_server_name, server_load> server_loads;
    std::map<group_name, group_selection> selections;
    std::map<group_name, std::deque<position_sample>> position_samples;
    std::map<group_name, primary_use_trace> primary_use_traces;
    /// Servers of the current view, by group.
    std::map<group_name, std::vector<backend_server_name>> group_servers;
    /// The current view holds back statements for some primary.
    bool has_held_groups = false;
    /// Statements that wait for a connection, by group; without empty queues.
    std::map<group_name, statement_queue> queues;
    /// How fast the queues of the groups are drained.
    std::map<group_name, group_drain> drains;
    time_point next_queue_check_at{};
    /// Deadlines of statements and connections.
    check_schedule checks;
    std::map<group_name, group_position> commit_positions;
    connection_number next_connection = 1;
    std::optional<time_point> stopping_since;
    milliseconds stop_timeout{0};
    time_point next_report_at{};
    /// The queue lengths that were recorded last.
    std::map<group_name, std::size_t> recorded_queues;
    std::map<group_name, hold_progress> reported_holds;
    bool is_stopped = false;

    friend bool operator==(const session_state&, const session_state&) = default;
};

struct session_requested
{
    session_number session = 0;
    std::string database;
    /// The session was opened by another entry host, not by a caller.
    bool is_relayed = false;
    key_digest key{};

    friend bool operator==(const session_requested&, const session_requested&) = default;
};

struct statement_received
{
    session_number session = 0;
    std::string id;
    statement body;
    std::optional<group_position> minimum_position{};
    std::optional<relayed_caller> caller{};
    std::optional<milliseconds> remaining_time{};

    friend bool operator==(const statement_received&, const statement_received&) = default;
};

/// The caller sent a line that is not a valid statement.
struct malformed_statement_received
{
    session_number session = 0;

    friend bool operator==(const malformed_statement_received&,
                           const malformed_statement_received&) = default;
};

struct session_closed
{
    session_number session = 0;

    friend bool operator==(const session_closed&, const session_closed&) = default;
};

struct connection_opened
{
    connection_number connection = 0;

    friend bool operator==(const connection_opened&, const connection_opened&) = default;
};

/// The backend server refused the connection.
struct connection_refused
{
    connection_number connection = 0;
    response_code code = response_code::busy;

    friend bool operator==(const connection_refused&, const connection_refused&) = default;
};

struct response_received
{
    connection_number connection = 0;
    statement_response response;

    friend bool operator==(const response_received&, const response_received&) = default;
};

/// The connection could not be opened, was closed, or received an invalid response.
struct connection_lost
{
    connection_number connection = 0;
    std::string reason;
    /// The other side sent an answer that can't be read.
    bool is_unreadable = false;

    friend bool operator==(const connection_lost&, const connection_lost&) = default;
};

struct view_published
{
    shared_value<traffic_view> view;

    friend bool operator==(const view_published&, const view_published&) = default;
};

struct timer_expired
{
    friend bool operator==(const timer_expired&, const timer_expired&) = default;
};

/// The process is to stop within `timeout`.
struct stop_requested
{
    milliseconds timeout{0};

    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};

using event_payload = std::variant<session_requested, statement_received, malformed_statement_received,
                                   session_closed, connection_opened, connection_refused, response_received,
                                   connection_lost, view_published, timer_expired, stop_requested>;

struct event
{
    time_point now{};
    event_payload payload;

    friend bool operator==(const event&, const event&) = default;
};

/// Tells the caller that its session is open.
struct accept_session
{
    session_number session = 0;

    friend bool operator==(const accept_session&, const accept_session&) = default;
};

/// Refuses the session and closes the caller's connection.
struct refuse_session
{
    session_number session = 0;
    response_code code = response_code::unknown_database;
    std::string detail;

    friend bool operator==(const refuse_session&, const refuse_session&) = default;
};

struct send_response
{
    session_number session = 0;
    statement_response response;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// Closes the caller's connection once everything written to it has been sent.
struct close_session
{
    session_number session = 0;

    friend bool operator==(const close_session&, const close_session&) = default;
};

struct open_connection
{
    connection_number connection = 0;
    group_name group;
    backend_server_name server;
    protocol::endpoint address;
    /// Only for a connection to another entry host: the database of the session to open there.
    std::string database{};
    /// Only for a connection to a backend server: the customer that it will serve.
    customer_name customer{};

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

struct send_statement
{
    connection_number connection = 0;
    /// Empty for the proxy's internal statements.
    std::string id;
    statement body;
    /// The server refuses the statement while its log is behind this position.
    std::optional<group_position> minimum_position;
    /// Only to another entry host: whose statement it is, if that differs from the statement before.
    std::optional<relayed_caller> caller{};
    /// Only to another entry host: the time left until the statement's deadline, if the statement has waited
    /// here.
    std::optional<milliseconds> remaining_time{};

    friend bool operator==(const send_statement&, const send_statement&) = default;
};

struct close_connection
{
    connection_number connection = 0;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

struct report_suspected_primary
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// The primary answers, but its commits wait for replicas.
    bool are_commits_stalled = false;

    friend bool operator==(const report_suspected_primary&, const report_suspected_primary&) = default;
};

/// Reports to the control thread: connection usage, acknowledged commits, and the work left at primaries
/// whose new work is held back.
struct report_to_control
{
    std::map<backend_server_name, connection_usage> connection_usage_by_server;
    std::map<group_name, group_position> commit_positions;
    std::map<group_name, hold_progress> holds;
    /// The closed terms that the traffic thread has seen; `commit_positions` is final up to these terms.
    std::map<group_name, group_term> closed_terms;
    /// Customers with a limit.
    limits::customer_demands customer_demands{};
    bool needs_quota = false;

    friend bool operator==(const report_to_control&, const report_to_control&) = default;
};

/// Records the metrics of a finished statement.
struct record_statement_metrics
{
    std::string database;
    response_code code = response_code::done;
    bool ran_on_replica = false;
    bool is_read_only = false;
    milliseconds duration{0};
    /// Another entry host ran the statement for this one.
    bool ran_on_relay = false;
    /// For a statement that was refused in the queue.
    wait_cause waited_for = wait_cause::none;
    customer_name customer{};
    /// Time from the arrival until the statement was first sent; nothing if it was not.
    std::optional<milliseconds> queued_for{};

    friend bool operator==(const record_statement_metrics&, const record_statement_metrics&) = default;
};

/// Counts an operation that was refused by its customer's limit.
struct record_limit_refusal
{
    customer_name customer;

    friend bool operator==(const record_limit_refusal&, const record_limit_refusal&) = default;
};

/// Records the metrics of a server that was ejected or readmitted.
struct record_ejection_metrics
{
    backend_server_name server;
    /// `none` for a readmission.
    ejection_reason reason = ejection_reason::none;

    friend bool operator==(const record_ejection_metrics&, const record_ejection_metrics&) = default;
};

/// What a response on a connection answers.
enum class answer_origin
{
    /// The unanswered statement.
    own,
    /// An earlier statement, which has been answered or is known to be answered in turn.
    repeat,
    /// Either the unanswered statement or an earlier one.
    ambiguous,
    /// No statement that the connection knows of.
    foreign
};

std::string_view to_string(answer_origin origin);

/// Counts a response that was not taken for the answer to a statement.
struct record_unexpected_response
{
    answer_origin origin = answer_origin::repeat;

    friend bool operator==(const record_unexpected_response&, const record_unexpected_response&) = default;
};

/// Records how many statements wait, by group; without the groups where none does.
struct record_queue_metrics
{
    std::map<group_name, std::size_t> queued_statements;

    friend bool operator==(const record_queue_metrics&, const record_queue_metrics&) = default;
};

/// Records the share of a group's statements that leaves the own region, or the own zone for its relays.
struct record_overflow_metrics
{
    group_name group;
    bool is_relayed = false;
    double share = 0;

    friend bool operator==(const record_overflow_metrics&, const record_overflow_metrics&) = default;
};

/// Reports that every session has ended.
struct report_stopped
{
    friend bool operator==(const report_stopped&, const report_stopped&) = default;
};

using effect = std::variant<accept_session, refuse_session, send_response, close_session, open_connection,
                            send_statement, close_connection, report_suspected_primary, report_to_control,
                            record_statement_metrics, record_limit_refusal, record_ejection_metrics,
                            record_unexpected_response, record_queue_metrics, record_overflow_metrics,
                            report_stopped, logging::log_record>;

struct transition
{
    session_state state;
    std::vector<effect> effects;
    /// When the next `timer_expired` event is due.
    time_point next_timer_at{};

    friend bool operator==(const transition&, const transition&) = default;
};

} // namespace hickorymount::sessions
