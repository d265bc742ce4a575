#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "logging/types.h"
#include "sessions/flight_limit.h"
#include "sessions/statement.h"
#include "sessions/traffic_view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Callers' sessions and the connections to backend servers that carry them: which server runs each
/// statement, what is tried again, and what the caller is told.
namespace hickorymount::sessions {

using session_number = std::uint64_t;
using link_number = std::uint64_t;

/// A connection that is not open by then is given up.
inline constexpr milliseconds connect_timeout{1000};
/// One of the proxy's own statements that is not answered by then loses its connection.
inline constexpr milliseconds own_statement_timeout{600};
/// A primary that leaves a statement unanswered for this long is suspect; a full queue of the slowest
/// statements takes less.
inline constexpr milliseconds suspicious_silence{400};
/// A read unanswered for this long is tried elsewhere, as long as its time allows.
inline constexpr milliseconds read_retry_after{350};
/// How long a backend server that refused is left alone.
inline constexpr milliseconds refusal_pause{30};
inline constexpr milliseconds reconnect_pause{300};
/// A statement that has not been sent this long before its time limit will not be answered in time.
inline constexpr milliseconds send_margin{40};
/// The balancer may send new sessions for this long after the host has stopped being ready.
inline constexpr milliseconds balancer_delay{2300};
/// Time kept at the end of a stop for the last answers.
inline constexpr milliseconds stop_margin{800};
inline constexpr milliseconds report_interval{400};
/// A primary that is leaving gets no new work after this; its successor has taken over by then.
inline constexpr milliseconds leaving_primary_limit{5500};
/// Callers wait this long for their session to open.
inline constexpr milliseconds opening_limit{1800};
/// A primary that only this host can't reach, or a lease that only it has lost, is known as such after this;
/// until then a change of primary, or of the control leader, may be under way.
inline constexpr milliseconds isolation_delay{1500};
/// A commit unanswered for this long waits for the replicas; the longest queue at a primary takes a third of
/// it.
inline constexpr milliseconds stalled_commit_after{600};
/// A connection to another entry host that is not open by then is given up; the way between regions takes a
/// tenth of it.
inline constexpr milliseconds relay_connect_timeout{250};
/// Another entry host that has answered nothing for this long is taken to be lost: one that works has much to
/// answer.
inline constexpr milliseconds relay_silence{500};
/// How long an entry host that seemed lost is left alone; control knows of it when its lease, of 2 s, is
/// over.
inline constexpr milliseconds relay_avoidance{2000};
/// Connections to one other entry host; each carries one statement or transaction at a time.
inline constexpr std::uint32_t max_relay_links = 48;
inline constexpr std::size_t max_pipelined_statements = 64;
inline constexpr std::size_t max_prepared_statements = 256;
inline constexpr std::size_t max_values = 256;

struct prepared_statement
{
    bool only_reads = false;
    std::string shape;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

struct asked_statement
{
    std::string id;
    statement what;
    time_point received_at{};
    /// Set by the entry host that passes the statement on: a read must see at least this.
    std::optional<group_position> least{};

    friend bool operator==(const asked_statement&, const asked_statement&) = default;
};

struct open_transaction
{
    bool only_reads = false;
    configuration::database_route route;
    /// Zero until its first statement runs.
    link_number link = 0;
    /// A statement of it has run, so that it can't move to another connection.
    bool has_run = false;
    bool has_written = false;
    bool is_failed = false;
    /// The proxy has ended it, and the caller has not been told yet.
    bool has_expired = false;
    /// Of a transaction that another entry host passes on: its reads must see at least this.
    std::optional<group_position> least;
    time_point begun_at{};
    time_point last_used{};

    friend bool operator==(const open_transaction&, const open_transaction&) = default;
};

enum class statement_stage
{
    queued,
    /// The connection is being brought to the session's values and prepared statements.
    preparing,
    running
};

/// The statement that a session waits for.
struct pending_statement
{
    asked_statement asked;
    configuration::database_route route;
    bool only_reads = false;
    bool needs_primary = false;
    /// A read must see at least this; set when it is sent to a replica.
    std::optional<group_position> least_position;
    time_point deadline{};
    time_point retry_at{};
    statement_stage stage = statement_stage::queued;
    link_number link = 0;
    int attempts = 0;
    /// Servers that refused it or left it unanswered.
    std::set<backend_server_name> tried;
    time_point sent_at{};
    /// It was sent on a connection that was lost before the answer.
    bool may_have_run = false;

    friend bool operator==(const pending_statement&, const pending_statement&) = default;
};

struct caller_session
{
    std::string database;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<open_transaction> transaction;
    std::optional<pending_statement> pending;
    std::deque<asked_statement> waiting;
    /// The newest commit of this session, by group.
    std::map<group_name, group_position> commits;
    std::optional<group_position> last_position;
    /// Another entry host passes its callers' statements on in it, one after the other.
    bool is_relayed = false;

    friend bool operator==(const caller_session&, const caller_session&) = default;
};

enum class link_stage
{
    opening,
    idle,
    /// One of the proxy's own statements is unanswered.
    preparing,
    running,
    /// Held by a transaction whose caller has asked for nothing.
    reserved,
    /// A rollback is unanswered; no session holds the connection.
    rolling_back
};

/// A connection to a backend server, or to an entry host that runs statements for this one.
struct server_link
{
    /// The backend server; for another entry host its name, which no backend server has.
    backend_server_name server;
    group_name group;
    bool is_relay = false;
    /// Of a connection to another entry host.
    std::string database;
    link_stage stage = link_stage::opening;
    /// Zero when no session holds it.
    session_number holder = 0;
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    bool is_in_transaction = false;
    /// The proxy's own statement that is unanswered.
    std::optional<statement> own;
    time_point sent_at{};
    /// The group's term when the last statement was sent to its primary under the lease; otherwise zero.
    group_term sent_in_term = 0;
    time_point opened_at{};

    friend bool operator==(const server_link&, const server_link&) = default;
};

/// A position that a primary held when it answered something sent at `sent_at`.
struct position_sample
{
    time_point sent_at{};
    group_position at;

    friend bool operator==(const position_sample&, const position_sample&) = default;
};

struct opening_session
{
    std::string database;
    time_point since{};
    bool is_relayed = false;

    friend bool operator==(const opening_session&, const opening_session&) = default;
};

/// What the traffic thread knows beyond the view of one backend server, or of an entry host that runs
/// statements for this one.
struct server_load
{
    bool is_relay = false;
    /// Its last answer, of an entry host.
    time_point heard_at{};
    std::uint32_t open = 0;
    std::uint32_t opening = 0;
    std::uint32_t in_use = 0;
    std::uint32_t peak_in_use = 0;
    /// Statements, the proxy's own included, that are unanswered.
    std::uint32_t under_way = 0;
    flight_limit limit;
    /// Smoothed time from sending a statement to its answer.
    double latency_ms = 0;
    time_point avoid_until{};
    time_point connect_after{};
    std::optional<time_point> leaving_since;
    /// No connection could be opened since then.
    std::optional<time_point> unreachable_since;

    friend bool operator==(const server_load&, const server_load&) = default;
};

struct link_use
{
    std::uint32_t open = 0;
    std::uint32_t wanted = 0;

    friend bool operator==(const link_use&, const link_use&) = default;
};

struct hold_progress
{
    group_term term = 0;
    /// Statements and transactions at the primary.
    std::uint32_t in_flight = 0;

    friend bool operator==(const hold_progress&, const hold_progress&) = default;
};

struct session_state
{
    availability_zone zone;
    shared_value<traffic_view> view;
    std::map<std::string, configuration::database_route> routes;
    std::map<session_number, caller_session> sessions;
    /// Sessions that wait for the first configuration, and since when.
    std::map<session_number, opening_session> opening;
    /// Those that wait for an answer.
    std::set<session_number> active;
    std::map<link_number, server_link> links;
    std::map<backend_server_name, server_load> loads;
    std::map<group_name, std::deque<position_sample>> samples;
    /// Sessions whose statement waits for a connection, by group.
    std::map<group_name, std::vector<session_number>> queues;
    std::map<group_name, group_position> commits;
    link_number next_link = 1;
    std::optional<time_point> stopping_since;
    milliseconds stop_time{0};
    time_point report_at{};
    std::map<group_name, hold_progress> told_holds;
    bool is_stopped = false;

    friend bool operator==(const session_state&, const session_state&) = default;
};

struct session_opened
{
    session_number session = 0;
    std::string database;
    /// By another entry host, not by a caller.
    bool is_relayed = false;

    friend bool operator==(const session_opened&, const session_opened&) = default;
};

struct statement_asked
{
    session_number session = 0;
    std::string id;
    statement what;
    std::optional<group_position> least{};

    friend bool operator==(const statement_asked&, const statement_asked&) = default;
};

/// What the caller sent is no statement.
struct malformed_asked
{
    session_number session = 0;

    friend bool operator==(const malformed_asked&, const malformed_asked&) = default;
};

struct session_closed
{
    session_number session = 0;

    friend bool operator==(const session_closed&, const session_closed&) = default;
};

struct link_opened
{
    link_number link = 0;

    friend bool operator==(const link_opened&, const link_opened&) = default;
};

/// The backend server refused the connection.
struct link_refused
{
    link_number link = 0;
    answer_code code = answer_code::busy;

    friend bool operator==(const link_refused&, const link_refused&) = default;
};

struct link_answered
{
    link_number link = 0;
    answer whole;

    friend bool operator==(const link_answered&, const link_answered&) = default;
};

/// The connection could not be opened, broke, or sent what is no answer.
struct link_lost
{
    link_number link = 0;
    std::string reason;

    friend bool operator==(const link_lost&, const link_lost&) = default;
};

struct view_published
{
    shared_value<traffic_view> view;

    friend bool operator==(const view_published&, const view_published&) = default;
};

struct time_passed
{
    friend bool operator==(const time_passed&, const time_passed&) = default;
};

/// The process stops within this time.
struct stop_asked
{
    milliseconds time{0};

    friend bool operator==(const stop_asked&, const stop_asked&) = default;
};

using event_kind =
    std::variant<session_opened, statement_asked, malformed_asked, session_closed, link_opened, link_refused,
                 link_answered, link_lost, view_published, time_passed, stop_asked>;

struct event
{
    time_point now{};
    event_kind what;

    friend bool operator==(const event&, const event&) = default;
};

/// The session may be used.
struct accept_session
{
    session_number session = 0;

    friend bool operator==(const accept_session&, const accept_session&) = default;
};

/// The session is refused and closed.
struct refuse_session
{
    session_number session = 0;
    answer_code code = answer_code::unknown_database;
    std::string detail;

    friend bool operator==(const refuse_session&, const refuse_session&) = default;
};

struct answer_session
{
    session_number session = 0;
    answer whole;

    friend bool operator==(const answer_session&, const answer_session&) = default;
};

/// Closes the caller's connection after what was sent.
struct close_session
{
    session_number session = 0;

    friend bool operator==(const close_session&, const close_session&) = default;
};

struct open_link
{
    link_number link = 0;
    group_name group;
    backend_server_name server;
    protocol::endpoint address;
    /// Set for a connection to another entry host, which opens a session on this database.
    std::string database{};

    friend bool operator==(const open_link&, const open_link&) = default;
};

struct run_on_link
{
    link_number link = 0;
    /// Empty for the proxy's own statements.
    std::string id;
    statement what;
    /// The server refuses when its log lacks this.
    std::optional<group_position> least_position;

    friend bool operator==(const run_on_link&, const run_on_link&) = default;
};

struct close_link
{
    link_number link = 0;

    friend bool operator==(const close_link&, const close_link&) = default;
};

struct suspect_primary
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// It answers, but its commits wait.
    bool is_stalled = false;

    friend bool operator==(const suspect_primary&, const suspect_primary&) = default;
};

/// For the control thread: what is open, acknowledged, and left at primaries that are held back.
struct tell_control
{
    std::map<backend_server_name, link_use> uses;
    std::map<group_name, group_position> commits;
    std::map<group_name, hold_progress> holds;
    /// The closed terms that this thread has seen; `commits` is final up to them.
    std::map<group_name, group_term> closed;

    friend bool operator==(const tell_control&, const tell_control&) = default;
};

/// One statement has its answer; for metrics.
struct statement_finished
{
    std::string database;
    answer_code code = answer_code::done;
    bool ran_on_replica = false;
    bool only_reads = false;
    milliseconds took{0};
    /// Another entry host ran it for this one.
    bool ran_elsewhere = false;

    friend bool operator==(const statement_finished&, const statement_finished&) = default;
};

/// Every session has ended.
struct all_stopped
{
    friend bool operator==(const all_stopped&, const all_stopped&) = default;
};

using effect = std::variant<accept_session, refuse_session, answer_session, close_session, open_link,
                            run_on_link, close_link, suspect_primary, tell_control, statement_finished,
                            all_stopped, logging::log_record>;

struct transition
{
    session_state state;
    std::vector<effect> effects;
    /// When the next time_passed is due.
    time_point wake_at{};

    friend bool operator==(const transition&, const transition&) = default;
};

} // namespace hickorymount::sessions
