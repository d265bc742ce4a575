#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "session_token/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// An emulator of a backend server: one instance of a database group with a replicated log, asynchronous
/// replication, limits on connections and slots, transactions, and injected faults.
namespace hickorymount::database {

using protocol::endpoint;
using protocol::server_role;
using routing::operation_kind;
using routing::server_refusal_reason;
using session_token::group_position;
using session_token::group_term;
using session_token::log_position;

using connection_number = std::uint64_t;
using call_number = std::uint64_t;

/// The new value of a key.
struct change
{
    std::string key;
    std::string value;

    friend bool operator==(const change&, const change&) = default;
};

/// The changes of one committed write.
struct log_record
{
    log_position position = 0;
    group_term term = 0;
    /// The entry host's identifier of the request.
    std::string request_id;
    std::vector<change> changes;

    friend bool operator==(const log_record&, const log_record&) = default;
};

struct database_settings
{
    backend_server_name name;
    group_name group;
    availability_zone zone;
    endpoint address;
    unix_milliseconds started_at{0};
    std::uint32_t slots = 3;
    std::uint32_t connections = 20;
    /// Delay of the response to a new connection.
    milliseconds connection_setup_time{12};
    /// Time for which a statement holds a slot.
    milliseconds service_time{0};
    /// Delay between the receipt of log records and their application on a replica.
    milliseconds replication_lag{0};
    /// Empty for a server that starts as the primary of term 1.
    std::optional<endpoint> primary;

    friend bool operator==(const database_settings&, const database_settings&) = default;
};

/// Faults that a tester injects into the running emulator.
struct fault_settings
{
    /// Replaces `database_settings::replication_lag`.
    std::optional<milliseconds> replication_lag;
    /// Replaces `database_settings::service_time`.
    std::optional<milliseconds> service_time;
    /// Delay of every response, except to a change of the faults.
    milliseconds response_delay{0};
    /// No response is sent for this time, counted from when the fault is set.
    milliseconds freeze_duration{0};
    /// Responses to executed statements end after half of their body.
    bool truncates_responses = false;
    /// Responses to executed statements carry the identifier of the previous request.
    bool swaps_request_ids = false;
    /// The server sends no announcements.
    bool suppresses_announcements = false;
    /// The server closes the connection instead of sending a response, except for log records and changes of
    /// the faults.
    bool drops_connections = false;
    /// A replica neither requests nor accepts log records.
    bool blocks_replication = false;
    bool is_leaving = false;

    friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

/// The uncommitted changes of a transaction.
struct open_transaction
{
    std::vector<change> changes;

    friend bool operator==(const open_transaction&, const open_transaction&) = default;
};

/// A statement as an entry host sends it.
struct statement_request
{
    /// The entry host's identifier of the request.
    std::string request_id;
    operation_kind operation = operation_kind::run;
    configuration::statement_kind kind = configuration::statement_kind::read;
    bool is_in_transaction = false;
    std::string text;
    /// The statement is rejected if the server is in another term.
    group_term term = 0;
    /// The statement is rejected if the server's newest position is below this one.
    log_position minimum_position = 0;

    friend bool operator==(const statement_request&, const statement_request&) = default;
};

/// A statement arrived on a connection.
struct statement_received
{
    call_number call = 0;
    connection_number connection = 0;
    statement_request request;

    friend bool operator==(const statement_received&, const statement_received&) = default;
};

/// A statement that holds a slot until `done_at`.
struct running_statement
{
    statement_received call;
    time_point done_at{};

    friend bool operator==(const running_statement&, const running_statement&) = default;
};

/// Log records that a replica has received from the primary and not yet applied.
struct received_records
{
    time_point apply_at{};
    /// Time at which the replica requested the records.
    time_point requested_at{};
    group_term term = 0;
    /// Position of the last record.
    log_position last_position = 0;
    std::vector<log_record> records;

    friend bool operator==(const received_records&, const received_records&) = default;
};

struct database_state
{
    database_settings settings;
    fault_settings faults;
    time_point frozen_until{};
    server_role role = server_role::replica;
    group_term term = 0;
    std::optional<endpoint> primary;
    shared_map<log_position, log_record> log;
    shared_map<std::string, std::string> data;
    /// The start position of each term that this server took over, so that a repeated promotion order gets
    /// the same response.
    std::map<group_term, log_position> takeovers;
    /// A replica's data is at least as recent as the primary's was at this time.
    time_point fresh_as_of{};
    std::vector<received_records> received;
    std::set<connection_number> connections;
    std::map<connection_number, open_transaction> transactions;
    std::vector<running_statement> running_statements;
    std::vector<statement_received> waiting_statements;
    std::uint64_t next_report_sequence = 1;
    std::string last_request_id;

    friend bool operator==(const database_state&, const database_state&) = default;
};

/// The server process started.
struct database_started
{
    database_settings settings;

    friend bool operator==(const database_started&, const database_started&) = default;
};

/// An entry host requested a place among the server's connections.
struct connection_requested
{
    call_number call = 0;
    connection_number connection = 0;

    friend bool operator==(const connection_requested&, const connection_requested&) = default;
};

/// The client closed a connection.
struct connection_closed
{
    connection_number connection = 0;

    friend bool operator==(const connection_closed&, const connection_closed&) = default;
};

/// A client or the announcement thread requested the server's status.
struct report_requested
{
    call_number call = 0;

    friend bool operator==(const report_requested&, const report_requested&) = default;
};

/// Orders the server to become the primary of a term.
struct promotion_order
{
    group_term term = 0;

    friend bool operator==(const promotion_order&, const promotion_order&) = default;
};

/// Orders the server to replicate from the primary of a term. Records after `term_start`, the position at
/// which the term begins, are discarded.
struct replication_order
{
    group_term term = 0;
    endpoint primary;
    log_position term_start = 0;

    friend bool operator==(const replication_order&, const replication_order&) = default;
};

/// An entry host ordered a promotion.
struct promotion_requested
{
    call_number call = 0;
    promotion_order order;

    friend bool operator==(const promotion_requested&, const promotion_requested&) = default;
};

/// An entry host ordered replication from another primary.
struct replication_requested
{
    call_number call = 0;
    replication_order order;

    friend bool operator==(const replication_requested&, const replication_requested&) = default;
};

/// A client requested the log records after a position.
struct log_requested
{
    call_number call = 0;
    log_position after = 0;

    friend bool operator==(const log_requested&, const log_requested&) = default;
};

/// The primary's response to this replica's request for log records arrived.
struct records_received
{
    time_point requested_at{};
    group_term term = 0;
    log_position after_position = 0;
    std::vector<log_record> records;

    friend bool operator==(const records_received&, const records_received&) = default;
};

/// A tester replaced the injected faults.
struct faults_changed
{
    call_number call = 0;
    fault_settings faults;

    friend bool operator==(const faults_changed&, const faults_changed&) = default;
};

/// The time last returned as `database_transition::next_timer_at` was reached.
struct timer_expired
{
    friend bool operator==(const timer_expired&, const timer_expired&) = default;
};

using database_event_payload =
    std::variant<database_started, connection_requested, connection_closed, statement_received,
                 report_requested, promotion_requested, replication_requested, log_requested,
                 records_received, faults_changed, timer_expired>;

struct database_event
{
    time_point now{};
    database_event_payload payload;

    friend bool operator==(const database_event&, const database_event&) = default;
};

struct connection_response
{
    bool is_accepted = false;

    friend bool operator==(const connection_response&, const connection_response&) = default;
};

/// The response to an executed statement.
struct statement_completed
{
    /// The identifier of the statement's request.
    std::string request_id;
    /// The server's newest position after the statement.
    group_position position;
    /// Age of the data that a replica read; 0 on the primary.
    milliseconds data_age{0};
    /// The result as JSON.
    std::string body;

    friend bool operator==(const statement_completed&, const statement_completed&) = default;
};

/// The response to a statement that the server did not execute.
struct statement_rejected
{
    /// The identifier of the statement's request.
    std::string request_id;
    server_refusal_reason reason = server_refusal_reason::busy;
    group_position position;

    friend bool operator==(const statement_rejected&, const statement_rejected&) = default;
};

struct report_response
{
    protocol::server_report report;

    friend bool operator==(const report_response&, const report_response&) = default;
};

/// The response to a promotion or replication order.
struct takeover_response
{
    bool is_accepted = false;
    /// The server's term after the order.
    group_term term = 0;
    /// The server's newest position when it executed the order; 0 for a refused order.
    log_position last_position = 0;

    friend bool operator==(const takeover_response&, const takeover_response&) = default;
};

struct log_response
{
    group_term term = 0;
    server_role role = server_role::replica;
    std::vector<log_record> records;

    friend bool operator==(const log_response&, const log_response&) = default;
};

struct faults_response
{
    fault_settings faults;

    friend bool operator==(const faults_response&, const faults_response&) = default;
};

using database_response = std::variant<connection_response, statement_completed, statement_rejected,
                                       report_response, takeover_response, log_response, faults_response>;

/// Sends the response to a call, not before the given time.
struct send_response
{
    call_number call = 0;
    database_response response;
    time_point not_before{};
    /// Only the first half of the body is sent.
    bool is_truncated = false;
    /// The connection is closed without a response.
    bool is_dropped = false;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// Updates the background tasks after a change of role, term or faults: announces the server at once, and
/// replicates from this primary, if any.
struct update_background_tasks
{
    std::optional<endpoint> primary;
    bool suppresses_announcements = false;
    bool blocks_replication = false;

    friend bool operator==(const update_background_tasks&, const update_background_tasks&) = default;
};

using database_effect = std::variant<send_response, update_background_tasks>;

struct database_transition
{
    database_state state;
    std::vector<database_effect> effects;
    /// Time at which the next `timer_expired` event is due.
    time_point next_timer_at{};

    friend bool operator==(const database_transition&, const database_transition&) = default;
};

} // namespace hickorymount::database
