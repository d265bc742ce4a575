#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_map.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "session/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// A small emulator of a backend server: one instance of a database group with a log, asynchronous
/// replication, connections, slots, transactions and faults.
namespace hickorymount::database {

using protocol::endpoint;
using protocol::server_role;
using routing::operation;
using routing::server_refusal;
using session::group_position;
using session::group_term;
using session::log_position;

using connection_number = std::uint64_t;
using call_number = std::uint64_t;

struct change
{
    std::string key;
    std::string value;

    friend bool operator==(const change&, const change&) = default;
};

/// One committed write.
struct log_record
{
    log_position position = 0;
    group_term term = 0;
    /// The entry host's name for the request.
    std::string request;
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
    milliseconds connection_cost{12};
    /// Time that one statement holds a slot.
    milliseconds service_time{0};
    milliseconds replication_lag{0};
    /// Empty for a server that starts as the primary of term 1.
    std::optional<endpoint> primary;

    friend bool operator==(const database_settings&, const database_settings&) = default;
};

/// What an operator of the emulator can break, while it runs.
struct fault_settings
{
    std::optional<milliseconds> replication_lag;
    std::optional<milliseconds> service_time;
    /// Every answer is this late.
    milliseconds late{0};
    /// Nothing is answered until then, counted from when the fault is set.
    milliseconds frozen{0};
    /// Answers are cut in the middle.
    bool is_short = false;
    /// Answers carry the id of the request before.
    bool is_swapped = false;
    /// Sends no announcements.
    bool is_mute = false;
    /// Drops every connection of entry hosts.
    bool is_deaf = false;
    /// A replica takes no log records.
    bool is_replication_cut = false;
    bool is_leaving = false;

    friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

struct open_transaction
{
    std::vector<change> changes;

    friend bool operator==(const open_transaction&, const open_transaction&) = default;
};

struct statement
{
    std::string request;
    operation what = operation::run;
    configuration::statement_kind kind = configuration::statement_kind::read;
    bool is_in_transaction = false;
    std::string text;
    group_term term = 0;
    log_position least_position = 0;

    friend bool operator==(const statement&, const statement&) = default;
};

struct statement_call
{
    call_number call = 0;
    connection_number connection = 0;
    statement what;

    friend bool operator==(const statement_call&, const statement_call&) = default;
};

/// A statement that holds a slot until `done_at`.
struct running_statement
{
    statement_call call;
    time_point done_at{};

    friend bool operator==(const running_statement&, const running_statement&) = default;
};

/// Records that came from the primary and are not applied yet.
struct arrived_records
{
    time_point apply_at{};
    time_point asked_at{};
    group_term term = 0;
    log_position up_to = 0;
    std::vector<log_record> records;

    friend bool operator==(const arrived_records&, const arrived_records&) = default;
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
    /// The term and position of the last takeover, for one that is asked for again.
    std::map<group_term, log_position> takeovers;
    /// A replica's data is no older than the primary's at this time.
    time_point fresh_as_of{};
    std::vector<arrived_records> arrived;
    std::set<connection_number> connections;
    std::map<connection_number, open_transaction> transactions;
    std::vector<running_statement> running;
    std::vector<statement_call> waiting;
    std::uint64_t next_report = 1;
    std::string last_request;

    friend bool operator==(const database_state&, const database_state&) = default;
};

struct database_started
{
    database_settings settings;

    friend bool operator==(const database_started&, const database_started&) = default;
};

struct connection_asked
{
    call_number call = 0;
    connection_number connection = 0;

    friend bool operator==(const connection_asked&, const connection_asked&) = default;
};

struct connection_closed
{
    connection_number connection = 0;

    friend bool operator==(const connection_closed&, const connection_closed&) = default;
};

struct report_asked
{
    call_number call = 0;

    friend bool operator==(const report_asked&, const report_asked&) = default;
};

/// Take over as the primary of a term.
struct promotion
{
    group_term term = 0;

    friend bool operator==(const promotion&, const promotion&) = default;
};

/// Replicate from the primary of a term, which starts from `start`.
struct following
{
    group_term term = 0;
    endpoint primary;
    log_position start = 0;

    friend bool operator==(const following&, const following&) = default;
};

struct promote_asked
{
    call_number call = 0;
    promotion order;

    friend bool operator==(const promote_asked&, const promote_asked&) = default;
};

struct follow_asked
{
    call_number call = 0;
    following order;

    friend bool operator==(const follow_asked&, const follow_asked&) = default;
};

struct log_asked
{
    call_number call = 0;
    log_position after = 0;

    friend bool operator==(const log_asked&, const log_asked&) = default;
};

/// The primary's answer to this replica's request for records.
struct records_arrived
{
    time_point asked_at{};
    group_term term = 0;
    log_position after = 0;
    std::vector<log_record> records;

    friend bool operator==(const records_arrived&, const records_arrived&) = default;
};

struct faults_set
{
    call_number call = 0;
    fault_settings faults;

    friend bool operator==(const faults_set&, const faults_set&) = default;
};

struct time_passed
{
    friend bool operator==(const time_passed&, const time_passed&) = default;
};

using database_event_kind =
    std::variant<database_started, connection_asked, connection_closed, statement_call, report_asked,
                 promote_asked, follow_asked, log_asked, records_arrived, faults_set, time_passed>;

struct database_event
{
    time_point now{};
    database_event_kind what;

    friend bool operator==(const database_event&, const database_event&) = default;
};

struct connection_answer
{
    bool is_accepted = false;

    friend bool operator==(const connection_answer&, const connection_answer&) = default;
};

struct statement_done
{
    std::string request;
    group_position at;
    milliseconds age{0};
    std::string body;

    friend bool operator==(const statement_done&, const statement_done&) = default;
};

struct statement_rejected
{
    std::string request;
    server_refusal reason = server_refusal::busy;
    group_position at;

    friend bool operator==(const statement_rejected&, const statement_rejected&) = default;
};

struct report_answer
{
    protocol::server_report report;

    friend bool operator==(const report_answer&, const report_answer&) = default;
};

struct takeover_answer
{
    bool is_done = false;
    group_term term = 0;
    log_position start = 0;

    friend bool operator==(const takeover_answer&, const takeover_answer&) = default;
};

struct log_answer
{
    group_term term = 0;
    server_role role = server_role::replica;
    std::vector<log_record> records;

    friend bool operator==(const log_answer&, const log_answer&) = default;
};

struct faults_answer
{
    fault_settings faults;

    friend bool operator==(const faults_answer&, const faults_answer&) = default;
};

using database_answer = std::variant<connection_answer, statement_done, statement_rejected, report_answer,
                                     takeover_answer, log_answer, faults_answer>;

/// Answers one call, at the time given.
struct answer_call
{
    call_number call = 0;
    database_answer answer;
    time_point not_before{};
    bool is_short = false;
    bool is_dropped = false;

    friend bool operator==(const answer_call&, const answer_call&) = default;
};

/// Role, term or a fault changed: announce at once, and pull from this primary, if any.
struct standing_changed
{
    std::optional<endpoint> primary;
    bool is_mute = false;
    bool is_replication_cut = false;

    friend bool operator==(const standing_changed&, const standing_changed&) = default;
};

using database_effect = std::variant<answer_call, standing_changed>;

struct database_transition
{
    database_state state;
    std::vector<database_effect> effects;
    time_point wake_at{};

    friend bool operator==(const database_transition&, const database_transition&) = default;
};

} // namespace hickorymount::database
