#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "limits/types.h"
#include "session_token/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between entry hosts and control hosts, and the reports of backend servers. descriptions.h maps
/// the types to their encoded form.
namespace hickorymount::protocol {

using directory::entry_process_id;
using session_token::group_position;
using session_token::group_term;
using session_token::log_position;

/// Revision of the view that control sends to entry hosts: the log index of its last change.
using view_revision = std::uint64_t;

/// An IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

std::string to_string(const endpoint& value);

/// Parses `address:port`; empty if the text has another form.
std::optional<endpoint> parse_endpoint(std::string_view text);

enum class server_role
{
    primary,
    replica
};

/// Protocol of a backend server.
enum class server_interface
{
    /// HTTP, with one request per statement.
    http,
    /// A line protocol over TCP; a session holds variables, prepared statements and transactions.
    sessions
};

/// Default interval between two reports of a backend server.
inline constexpr milliseconds default_report_interval{100};

/// Status that a backend server reports periodically.
struct server_report
{
    backend_server_name name;
    group_name group;
    availability_zone zone;
    endpoint address;
    /// Start time of the backend server's process; a restarted process has a later one.
    unix_milliseconds started_at{0};
    /// Sequence number of the report within one process.
    std::uint64_t sequence = 0;
    server_role role = server_role::replica;
    group_position position;
    /// Upper bound of the age of a replica's data at the time of the report.
    milliseconds data_age{0};
    bool is_leaving = false;
    server_interface interface = server_interface::http;
    milliseconds report_interval = default_report_interval;
    /// Last report of a process that shuts down.
    bool has_left = false;
    /// Number of statements that the server executes at the same time, if it reports it.
    std::optional<std::uint32_t> slots{};

    friend bool operator==(const server_report&, const server_report&) = default;
};

/// Longest name of a server, a group or an availability zone in a report.
inline constexpr std::size_t max_report_name_bytes = 256;
/// Latest start time in a report: the end of the year 9999.
inline constexpr unix_milliseconds max_started_at{253'402'300'799'999};
/// Highest sequence number in a report; the largest that a double holds exactly.
inline constexpr std::uint64_t max_report_sequence = (std::uint64_t{1} << 53) - 1;

/// Why the report names no server that can be used: the field and what was expected. Empty for a valid
/// report. The last report of a server may have nothing but its name.
std::string report_error(const server_report& report);

/// Hash of the fields of a server that entry hosts need for sessions. Adding the hashes of all servers gives
/// a digest that does not depend on their order. Zero for servers that are gone or have no sessions.
std::uint64_t session_server_hash(const server_report& report);

/// True if `report` was made after `known`.
bool is_newer(const server_report& report, const server_report& known);

/// An entry host that forwards the statements of other entry hosts to backend servers.
struct relay_host
{
    host_name name;
    endpoint address;
    availability_zone zone;

    friend auto operator<=>(const relay_host&, const relay_host&) = default;
    friend bool operator==(const relay_host&, const relay_host&) = default;
};

/// Routes from one entry host to the backend servers of a database group.
struct group_access
{
    /// True if the entry host uses its own connections, with relays as a fallback; false if it uses relays
    /// only.
    bool is_direct = true;
    /// Relays in order of preference, as indexes into `relay_plan::relays`.
    std::vector<std::uint32_t> relay_indexes;

    friend bool operator==(const group_access&, const group_access&) = default;
};

/// Relays that one entry host may use, and its access to each database group.
struct relay_plan
{
    /// Hash of the plan, to detect an outdated one.
    std::uint64_t digest = 0;
    std::vector<relay_host> relays;
    std::map<group_name, group_access> groups;

    friend bool operator==(const relay_plan&, const relay_plan&) = default;
};

/// Sent by an entry host to renew its lease; contains the revisions that the entry host has applied.
struct lease_request
{
    entry_process_id entry;
    availability_zone zone;
    std::uint64_t sequence = 0;
    view_revision applied_revision = 0;
    configuration::configuration_version applied_version = 0;
    /// Connections that the entry host has open or may open, per backend server.
    std::map<backend_server_name, std::uint32_t> held_connections;
    /// Connections that the entry host needs, per backend server.
    std::map<backend_server_name, std::uint32_t> wanted_connections;
    /// Sum of `session_server_hash` over the servers with sessions that the entry host knows.
    std::uint64_t servers_digest = 0;
    /// Address of the entry host's relay listener, if it has one.
    std::optional<endpoint> relay_address;
    /// Digest of the relay plan that the entry host uses.
    std::uint64_t relay_plan_digest = 0;
    /// The entry host is shutting down; other entry hosts must not send it new statements.
    bool is_stopping = false;
    /// Highest sequence number of the grants that the entry host has received. What control sent before that
    /// grant has arrived or is lost.
    std::uint64_t granted_sequence = 0;
    /// Region of the entry host's availability zone, if it is known.
    std::optional<region_name> region{};
    /// Only customers with a limit that have sessions, recent requests or a quota at the entry host.
    limits::customer_demands customer_demands{};

    friend bool operator==(const lease_request&, const lease_request&) = default;
};

/// Sent by an entry host that shuts down, to end its lease early.
struct lease_release
{
    entry_process_id entry;
    /// Newest position whose commit the process has acknowledged, by group. Empty if it may acknowledge more.
    std::optional<std::map<group_name, group_position>> acknowledged;

    friend bool operator==(const lease_release&, const lease_release&) = default;
};

/// Sent by the leader of the control hosts in response to `lease_request`.
struct lease_grant
{
    entry_process_id entry;
    std::uint64_t sequence = 0;
    milliseconds duration{0};
    std::map<backend_server_name, std::uint32_t> connection_limits;
    /// Voting control hosts; they may differ from those in the entry host's settings.
    std::vector<host_name> voting_control_hosts;
    /// Set if the plan that the entry host reported in `lease_request` is outdated.
    std::optional<relay_plan> new_relay_plan{};
    /// The lease counts only at an entry host that has applied this revision of the view.
    view_revision required_revision = 0;
    /// The quota of each customer that the request names.
    limits::customer_quotas customer_quotas{};
    /// Number of entry hosts that may use the allowance of a customer; zero without customers.
    std::uint32_t entry_hosts = 0;

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

/// Sent by a control host that is not the leader; names the leader if it is known.
struct not_leader
{
    std::optional<host_name> leader;

    friend bool operator==(const not_leader&, const not_leader&) = default;
};

/// State of one database group in a `view_update`.
struct group_view
{
    group_name name;
    directory::group_record record;

    friend bool operator==(const group_view&, const group_view&) = default;
};

/// Changes between two revisions of the view. If `from_revision` is zero, the update contains the full view.
struct view_update
{
    view_revision from_revision = 0;
    view_revision to_revision = 0;
    std::vector<group_view> groups;

    friend bool operator==(const view_update&, const view_update&) = default;
};

/// Sent by control: a newer version of the configuration, as the changes to a version that the entry host has
/// reported.
struct configuration_update
{
    shared_value<configuration::configuration_difference> difference;

    friend bool operator==(const configuration_update&, const configuration_update&) = default;
};

/// Backend server reports, forwarded between entry hosts and control in both directions.
struct server_reports
{
    std::vector<server_report> reports;
    /// The list contains every server with sessions.
    bool is_complete = false;
    /// Errors of the entries that the receiver has skipped; not sent. A list with such entries does not count
    /// as complete.
    std::vector<std::string> skipped{};

    friend bool operator==(const server_reports&, const server_reports&) = default;
};

/// Sent by an entry host that could not use a primary.
struct primary_suspicion
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// The primary responds, but its commits do not complete.
    bool are_commits_stalled = false;

    friend bool operator==(const primary_suspicion&, const primary_suspicion&) = default;
};

/// Sent by control: the entry host requests a backend server's status and answers with `probe_response`.
struct probe_request
{
    std::uint64_t probe_id = 0;
    backend_server_name server;
    endpoint address;
    group_name group;
    server_interface interface = server_interface::http;
    /// If not zero, a replica also stops replicating from primaries of lower terms.
    group_term pause_below_term = 0;

    friend bool operator==(const probe_request&, const probe_request&) = default;
};

/// Result of a `probe_request`.
struct probe_response
{
    std::uint64_t probe_id = 0;
    backend_server_name server;
    /// Empty if the backend server did not respond.
    std::optional<server_report> report;

    friend bool operator==(const probe_response&, const probe_response&) = default;
};

/// Sent by control: acknowledge no more writes of the term. With `finish_in_flight`, the entry host starts no
/// new writes and first finishes those in flight.
struct close_term_request
{
    group_name group;
    group_term term = 0;
    bool finish_in_flight = false;

    friend bool operator==(const close_term_request&, const close_term_request&) = default;
};

/// Response to a `close_term_request` that the entry host has carried out.
struct close_term_response
{
    entry_process_id entry;
    group_name group;
    group_term term = 0;
    bool finish_in_flight = false;
    /// Highest log position whose commit this entry host has acknowledged to a caller.
    group_position acknowledged_position;

    friend bool operator==(const close_term_response&, const close_term_response&) = default;
};

/// Cancels a drain after the change of primary was abandoned.
struct resume_term_request
{
    group_name group;
    group_term term = 0;

    friend bool operator==(const resume_term_request&, const resume_term_request&) = default;
};

/// Role of a backend server in a new term.
enum class server_role_change
{
    promote,
    follow
};

/// Sent by control: the entry host tells a backend server its role in a term.
struct role_change_request
{
    std::uint64_t request_id = 0;
    server_role_change kind = server_role_change::follow;
    group_name group;
    backend_server_name server;
    endpoint address;
    group_term term = 0;
    server_interface interface = server_interface::http;
    /// For `follow` on a server with sessions: the server acts as the primary and is demoted. If false, the
    /// server is told to resume replication.
    bool is_demotion = false;
    /// For `follow`: the address of the term's primary.
    endpoint primary_address;
    /// For `follow`: the log position at which the term starts.
    log_position term_start = 0;

    friend bool operator==(const role_change_request&, const role_change_request&) = default;
};

/// Result of a `role_change_request`.
struct role_change_response
{
    std::uint64_t request_id = 0;
    group_name group;
    backend_server_name server;
    server_role_change kind = server_role_change::follow;
    group_term term = 0;
    bool is_done = false;
    /// For `promote`: the log position at which the new term starts.
    log_position term_start = 0;

    friend bool operator==(const role_change_response&, const role_change_response&) = default;
};

using claim_command =
    std::variant<directory::create_claim, directory::record_answer, directory::withdraw_claim>;

/// Sent by an entry host to claim a request key, to record the outcome of its request or to withdraw the
/// claim.
struct claim_request
{
    std::uint64_t call_id = 0;
    claim_command command;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

/// Response to the `claim_request` with the same number.
struct claim_response
{
    std::uint64_t call_id = 0;
    directory::claim_result result;

    friend bool operator==(const claim_response&, const claim_response&) = default;
};

/// A message on the link between an entry host and a control host, or between two control hosts.
using message =
    std::variant<consensus::vote_request, consensus::vote_response, consensus::append_entries_request,
                 consensus::append_entries_response, consensus::install_snapshot_request,
                 consensus::join_request, consensus::member_hint, consensus::leave_request, lease_request,
                 lease_release, lease_grant, not_leader, view_update, server_reports, primary_suspicion,
                 probe_request, probe_response, close_term_request, close_term_response, resume_term_request,
                 role_change_request, role_change_response, claim_request, claim_response,
                 configuration_update>;

} // namespace hickorymount::protocol
