#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "directory/types.h"
#include "logging/types.h"
#include "protocol/types.h"
#include "session/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What an entry host decides: where each request runs, and whether its answer may go out.
namespace hickorymount::routing {

using directory::entry_key;
using protocol::group_term;

/// Numbers the requests of one entry host's process.
using request_number = std::uint64_t;
/// Numbers the connections to backend servers of one entry host's process.
using connection_number = std::uint64_t;

inline constexpr milliseconds lease_renewal_interval{400};
/// The same without a lease, at first; each further request waits longer, up to the most. After a loss of all
/// control hosts every entry host asks over and over.
inline constexpr milliseconds lease_retry_interval{150};
inline constexpr milliseconds lease_retry_interval_max{600};
/// A renewal unanswered for this long goes to all control hosts.
inline constexpr milliseconds leader_silence{600};
/// Control hosts that are asked at once while the leader is not known: when it was lost, every entry host
/// asks.
inline constexpr std::size_t control_hosts_asked = 3;
/// A new configuration is confirmed to control within this time; not by all entry hosts in the same moment.
inline constexpr milliseconds confirmation_spread{200};
/// Subtracted from a lease: the clocks of two hosts may differ in rate by 1% each.
inline constexpr milliseconds lease_drift_margin{40};
/// Reports of backend servers are passed on in batches of this interval.
inline constexpr milliseconds report_interval{20};
/// A statement that the primary has not answered for this long makes it suspect.
inline constexpr milliseconds slow_statement_after{300};
inline constexpr milliseconds suspicion_interval{200};
inline constexpr milliseconds claim_resend_interval{250};
/// While a write waits for a replica, replicas are asked for their position this often.
inline constexpr milliseconds position_poll_interval{5};
/// How long a backend server that refused a statement is left alone.
inline constexpr milliseconds refusal_pause{20};
inline constexpr milliseconds connection_retry_pause{500};
/// A transaction without a statement for this long is ended.
inline constexpr milliseconds transaction_idle_timeout{10'000};
/// A drain that control does not end is ended by the entry host itself.
inline constexpr milliseconds hold_limit{4000};
/// A backend server that has not been heard for this long gets no reads.
inline constexpr milliseconds report_stale{1000};
/// A backend server that has not been heard for this long is forgotten.
inline constexpr milliseconds report_forgotten{60'000};
/// Claims are remembered this much longer than the retention, for clocks that differ.
inline constexpr milliseconds key_clock_margin{600'000};
inline constexpr milliseconds statement_timeout_max{10'000};
inline constexpr int max_attempts = 8;
/// One retry of a statement that may have run costs as much as this many requests earn.
inline constexpr std::int64_t retry_cost = 10;
inline constexpr std::int64_t retry_budget_max = 500;

enum class operation
{
    run,
    begin,
    commit,
    rollback
};

/// A caller's request, decoded.
struct caller_request
{
    request_number request = 0;
    group_name group;
    class_name class_of_request;
    operation what = operation::run;
    std::string statement;
    std::optional<transaction_id> transaction;
    session::token token;
    std::optional<request_key> key;
    /// The caller's own time limit; zero for the class's.
    milliseconds timeout{0};

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

enum class refusal
{
    draining,
    not_ready,
    unknown_group,
    unknown_class,
    class_not_allowed,
    deadline_passed,
    queue_full,
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

/// The whole answer to the request.
struct whole_answer
{
    std::string body;
    session::token token;
    backend_server_name served_by;
    protocol::server_role role = protocol::server_role::primary;
    std::optional<transaction_id> transaction;
    /// The answer was recorded for an earlier request with the same key.
    bool is_repeated = false;
    /// The answer may not go out at or after this time.
    std::optional<time_point> valid_until;

    friend bool operator==(const whole_answer&, const whole_answer&) = default;
};

/// The request did not run.
struct not_run
{
    refusal reason = refusal::not_ready;
    std::string step;
    std::string peer;
    std::string detail;
    /// Set where the session has to go on with another token.
    std::optional<session::token> token;

    friend bool operator==(const not_run&, const not_run&) = default;
};

/// The request may have run.
struct outcome_unknown
{
    std::string step;
    std::string peer;
    std::string detail;

    friend bool operator==(const outcome_unknown&, const outcome_unknown&) = default;
};

using caller_outcome = std::variant<whole_answer, not_run, outcome_unknown>;

enum class request_stage
{
    claiming,
    queued,
    running,
    replicating
};

/// A request that has no outcome yet.
struct request_state
{
    caller_request asked;
    configuration::class_settings settings;
    request_stage stage = request_stage::queued;
    time_point received_at{};
    time_point deadline{};
    int attempts = 0;
    backend_server_name server;
    connection_number connection = 0;
    group_term term = 0;
    time_point sent_at{};
    /// Replicas that were asked and had not the position needed.
    std::set<backend_server_name> behind;
    /// The primary's answer, while a replica's confirmation is awaited.
    std::optional<whole_answer> answer;
    session::group_position written;
    bool is_claimed = false;
    /// The number of its claim's call to control; zero without one.
    std::uint64_t claim_call = 0;
    /// An earlier attempt was sent and has no proof that it did not run.
    bool may_have_run = false;

    friend bool operator==(const request_state&, const request_state&) = default;
};

/// The connections of this entry host to one backend server.
struct connection_set
{
    std::uint32_t share = 0;
    std::vector<connection_number> idle;
    std::set<connection_number> busy;
    std::set<connection_number> opening;
    /// Given up, and not closed yet.
    std::set<connection_number> closing;
    std::uint32_t peak_busy = 0;
    time_point open_after{};

    friend bool operator==(const connection_set&, const connection_set&) = default;
};

struct server_state
{
    protocol::server_report report;
    time_point heard_at{};
    /// Log records a second, as seen between reports.
    std::int64_t records_per_second = 0;
    time_point avoid_until{};
    /// The connection on which its position is being asked for; zero for none.
    connection_number position_asked_on = 0;
    connection_set connections;

    friend bool operator==(const server_state&, const server_state&) = default;
};

struct group_state
{
    directory::group_record record;
    /// No write of this term, or of one before it, is acknowledged any more.
    group_term closed_term = 0;
    /// Writes of this term are held back for a planned change.
    group_term held_term = 0;
    time_point held_since{};
    bool is_hold_confirmed = false;
    time_point suspicion_sent{};
    std::set<backend_server_name> members;
    std::vector<request_number> queue;

    friend bool operator==(const group_state&, const group_state&) = default;
};

struct transaction_state
{
    group_name group;
    class_name class_of_request;
    backend_server_name server;
    connection_number connection = 0;
    group_term term = 0;
    bool is_busy = false;
    time_point last_used{};

    friend bool operator==(const transaction_state&, const transaction_state&) = default;
};

enum class alarm_kind
{
    deadline,
    slow_statement,
    claim_resend,
    queue_retry,
    transaction_idle,
    position_poll
};

/// Something to look at when its time has come. Alarms that no longer apply are ignored.
struct alarm
{
    time_point at{};
    alarm_kind kind = alarm_kind::deadline;
    request_number request = 0;
    group_name group;
    transaction_id transaction;

    friend auto operator<=>(const alarm&, const alarm&) = default;
    friend bool operator==(const alarm&, const alarm&) = default;
};

/// What the traffic thread has open to one backend server.
struct session_use
{
    std::uint32_t open = 0;
    /// Most of them in use at once since the last time it was told, and what waited beside.
    std::uint32_t wanted = 0;

    friend bool operator==(const session_use&, const session_use&) = default;
};

struct pending_close
{
    host_name asked_by;
    group_term term = 0;

    friend bool operator==(const pending_close&, const pending_close&) = default;
};

/// What the traffic thread still has at the primary of a term that is held back.
struct session_hold
{
    group_term term = 0;
    std::uint32_t in_flight = 0;

    friend bool operator==(const session_hold&, const session_hold&) = default;
};

struct lease_state
{
    time_point valid_until{};
    std::uint64_t next_sequence = 1;
    /// When each unanswered request was sent.
    std::map<std::uint64_t, time_point> sent;
    time_point renew_at{};
    time_point last_grant{};
    time_point hinted_at{};
    /// Requests since the last grant.
    int unanswered = 0;
    bool was_valid = false;

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

/// A recorded outcome or a withdrawal that control has not confirmed.
struct pending_record
{
    protocol::claim_call call;
    time_point resend_at{};
    time_point give_up_at{};

    friend bool operator==(const pending_record&, const pending_record&) = default;
};

struct entry_state
{
    entry_key self;
    availability_zone zone;
    std::vector<host_name> control_hosts;
    std::optional<host_name> leader;
    /// The place in `control_hosts` of the first one to ask while the leader is not known.
    std::size_t first_asked = 0;
    shared_value<configuration::versioned_configuration> configuration;
    protocol::view_revision revision = 0;
    shared_map<group_name, group_state> groups;
    shared_map<backend_server_name, server_state> servers;
    std::map<backend_server_name, session_use> session_uses;
    /// The newest commit of each group that was acknowledged to a session.
    std::map<group_name, session::group_position> session_commits;
    std::map<group_name, session_hold> session_holds;
    std::map<group_name, group_term> session_closed;
    /// Close orders that wait until the traffic thread has seen the term's end.
    std::map<group_name, pending_close> closing;
    /// When it was last said of each group that its primary's commits wait.
    std::map<group_name, time_point> stalls_sent;
    lease_state lease;
    std::optional<protocol::endpoint> relay;
    shared_value<protocol::relay_plan> relays;
    /// Sessions are being ended; other hosts' work is no longer wanted.
    bool is_stopping = false;
    shared_map<request_number, request_state> requests;
    shared_map<std::pair<group_name, class_name>, std::uint32_t> waiting;
    shared_map<transaction_id, transaction_state> transactions;
    shared_map<alarm, bool> alarms;
    /// Claims that wait for control's answer, by the number of the call.
    shared_map<std::uint64_t, request_number> claims;
    shared_map<std::uint64_t, pending_record> records;
    std::map<backend_server_name, protocol::server_report> unsent_reports;
    time_point reports_due{};
    /// Groups whose writes are held back for a planned change.
    std::set<group_name> held_groups;
    std::uint64_t next_number = 1;
    std::int64_t retry_budget = retry_budget_max;
    bool is_draining = false;
    bool is_drained = false;

    friend bool operator==(const entry_state&, const entry_state&) = default;
};

struct entry_started
{
    entry_key self;
    availability_zone zone;
    std::vector<host_name> control_hosts;
    /// Where this host runs statements for others, if it does.
    std::optional<protocol::endpoint> relay{};

    friend bool operator==(const entry_started&, const entry_started&) = default;
};

struct control_message
{
    host_name from;
    protocol::message content;

    friend bool operator==(const control_message&, const control_message&) = default;
};

/// A control host can be reached again.
struct control_connected
{
    host_name host;

    friend bool operator==(const control_connected&, const control_connected&) = default;
};

struct announced
{
    protocol::server_report report;

    friend bool operator==(const announced&, const announced&) = default;
};

/// The backend server ran the statement and answered whole.
struct statement_answered
{
    request_number request = 0;
    connection_number connection = 0;
    session::group_position at;
    milliseconds age{0};
    std::string body;

    friend bool operator==(const statement_answered&, const statement_answered&) = default;
};

enum class server_refusal
{
    leaving,
    not_primary,
    wrong_term,
    behind,
    busy,
    too_many_connections,
    no_transaction
};

/// The backend server refused the statement before running it. The connection stays usable.
struct statement_refused
{
    request_number request = 0;
    connection_number connection = 0;
    server_refusal reason = server_refusal::busy;
    session::group_position at;

    friend bool operator==(const statement_refused&, const statement_refused&) = default;
};

/// The statement was never sent. The connection is gone.
struct statement_not_sent
{
    request_number request = 0;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const statement_not_sent&, const statement_not_sent&) = default;
};

/// The statement was sent, and no whole answer came. The connection is gone.
struct statement_lost
{
    request_number request = 0;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const statement_lost&, const statement_lost&) = default;
};

/// The backend server's answer to a question for its position.
struct position_told
{
    connection_number connection = 0;
    protocol::server_report report;

    friend bool operator==(const position_told&, const position_told&) = default;
};

struct connection_opened
{
    backend_server_name server;
    connection_number connection = 0;

    friend bool operator==(const connection_opened&, const connection_opened&) = default;
};

/// The connection could not be opened, or was closed.
struct connection_ended
{
    backend_server_name server;
    connection_number connection = 0;
    std::string reason;

    friend bool operator==(const connection_ended&, const connection_ended&) = default;
};

struct probe_finished
{
    host_name asked_by;
    protocol::probe_report report;

    friend bool operator==(const probe_finished&, const probe_finished&) = default;
};

struct takeover_finished
{
    host_name asked_by;
    protocol::takeover_report report;

    friend bool operator==(const takeover_finished&, const takeover_finished&) = default;
};

struct time_passed
{
    friend bool operator==(const time_passed&, const time_passed&) = default;
};

/// What the traffic thread did since it told last.
struct sessions_told
{
    std::map<backend_server_name, session_use> uses;
    std::map<group_name, session::group_position> commits;
    std::map<group_name, session_hold> holds;
    /// The closed terms that it has seen; `commits` is final up to them.
    std::map<group_name, group_term> closed;

    friend bool operator==(const sessions_told&, const sessions_told&) = default;
};

/// Changed settings name other control hosts.
struct control_hosts_named
{
    std::vector<host_name> hosts;

    friend bool operator==(const control_hosts_named&, const control_hosts_named&) = default;
};

/// The traffic thread could not use a primary.
struct primary_suspected
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// It answers, but its commits wait.
    bool is_stalled = false;

    friend bool operator==(const primary_suspected&, const primary_suspected&) = default;
};

/// Sessions are being ended; the lease is kept until they have.
struct stop_announced
{
    friend bool operator==(const stop_announced&, const stop_announced&) = default;
};

/// Finish what is in flight and take nothing new.
struct drain_asked
{
    friend bool operator==(const drain_asked&, const drain_asked&) = default;
};

using entry_event_kind =
    std::variant<entry_started, control_message, control_connected, announced, caller_request,
                 statement_answered, statement_refused, statement_not_sent, statement_lost, position_told,
                 connection_opened, connection_ended, probe_finished, takeover_finished, sessions_told,
                 primary_suspected, control_hosts_named, time_passed, stop_announced, drain_asked>;

struct entry_event
{
    time_point now{};
    unix_milliseconds wall{0};
    entry_event_kind what;

    friend bool operator==(const entry_event&, const entry_event&) = default;
};

/// Runs a statement on an open connection.
struct run_statement
{
    request_number request = 0;
    backend_server_name server;
    connection_number connection = 0;
    operation what = operation::run;
    configuration::statement_kind kind = configuration::statement_kind::read;
    bool is_in_transaction = false;
    std::string statement;
    group_term term = 0;
    /// The backend server refuses when it holds less.
    protocol::log_position least_position = 0;
    milliseconds timeout{0};

    friend bool operator==(const run_statement&, const run_statement&) = default;
};

/// Asks a backend server for its position on an open connection.
struct ask_position
{
    backend_server_name server;
    connection_number connection = 0;

    friend bool operator==(const ask_position&, const ask_position&) = default;
};

struct open_connection
{
    backend_server_name server;
    protocol::endpoint address;
    connection_number connection = 0;

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

struct close_connection
{
    connection_number connection = 0;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

/// Sends to one control host.
struct send_to_control
{
    host_name to;
    protocol::message content;

    friend bool operator==(const send_to_control&, const send_to_control&) = default;
};

struct answer_caller
{
    request_number request = 0;
    caller_outcome outcome;

    friend bool operator==(const answer_caller&, const answer_caller&) = default;
};

struct probe_server
{
    host_name asked_by;
    protocol::probe_order order;

    friend bool operator==(const probe_server&, const probe_server&) = default;
};

struct tell_server
{
    host_name asked_by;
    protocol::takeover_order order;

    friend bool operator==(const tell_server&, const tell_server&) = default;
};

/// Nothing is in flight any more and the lease is given back.
struct drained
{
    friend bool operator==(const drained&, const drained&) = default;
};

using entry_effect =
    std::variant<run_statement, ask_position, open_connection, close_connection, send_to_control,
                 answer_caller, probe_server, tell_server, drained, logging::log_record>;

struct entry_transition
{
    entry_state state;
    std::vector<entry_effect> effects;
    /// When the next time_passed is due.
    time_point wake_at{};

    friend bool operator==(const entry_transition&, const entry_transition&) = default;
};

} // namespace hickorymount::routing
