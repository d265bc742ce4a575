#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "session/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the system's own processes say to one another. The codec stands apart, in descriptions.h.
namespace hickorymount::protocol {

using directory::entry_key;
using session::group_position;
using session::group_term;
using session::log_position;

/// Counts changes of what entry hosts have to know; taken from the log's index.
using view_revision = std::uint64_t;

/// An IP number and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

std::string to_string(const endpoint& at);

/// Parses `address:port`.
std::optional<endpoint> parse_endpoint(std::string_view text);

enum class server_role
{
    primary,
    replica
};

/// How a backend server is spoken to.
enum class server_interface
{
    /// One HTTP request a statement.
    requests,
    /// Sessions over TCP that hold values, prepared statements and transactions.
    sessions
};

/// Between two reports of a backend server, unless it says otherwise.
inline constexpr milliseconds usual_report_interval{100};

/// What a backend server says of itself, over and over.
struct server_report
{
    backend_server_name name;
    group_name group;
    availability_zone zone;
    endpoint address;
    /// When the backend server's process started; a restart is a later one.
    unix_milliseconds started_at{0};
    /// Counts the reports of one process.
    std::uint64_t sequence = 0;
    server_role role = server_role::replica;
    group_position at;
    /// Upper bound of how old a replica's data was when the report was made.
    milliseconds age{0};
    bool leaving = false;
    server_interface speaks = server_interface::requests;
    milliseconds report_interval = usual_report_interval;
    /// The last word of a process that ends.
    bool is_gone = false;

    friend bool operator==(const server_report&, const server_report&) = default;
};

/// Order-independent hash of what a host has to know of servers that speak in sessions: each adds
/// `server_hash`. Servers that are gone, or are spoken to by requests, count as absent.
std::uint64_t server_hash(const server_report& report);

/// True when `report` was made after `known`.
bool is_newer(const server_report& report, const server_report& known);

/// An entry host that runs statements for others.
struct relay_host
{
    host_name name;
    endpoint address;
    availability_zone zone;

    friend auto operator<=>(const relay_host&, const relay_host&) = default;
    friend bool operator==(const relay_host&, const relay_host&) = default;
};

/// How one entry host reaches a group's backend servers.
struct group_access
{
    /// Over connections of its own. Otherwise, and where its own fail, through relays.
    bool is_direct = true;
    /// Best first, as places in `relay_plan::hosts`.
    std::vector<std::uint32_t> relays;

    friend bool operator==(const group_access&, const group_access&) = default;
};

/// What one entry host has to know of the others.
struct relay_plan
{
    /// Tells whether a plan is still the present one.
    std::uint64_t digest = 0;
    std::vector<relay_host> hosts;
    std::map<group_name, group_access> groups;

    friend bool operator==(const relay_plan&, const relay_plan&) = default;
};

/// Entry host to control: asks for its lease, and says how far it has followed.
struct lease_request
{
    entry_key entry;
    availability_zone zone;
    std::uint64_t sequence = 0;
    view_revision revision = 0;
    configuration::configuration_version version = 0;
    /// Connections it holds or may open, for each backend server.
    std::map<backend_server_name, std::uint32_t> held_connections;
    /// Connections it could use.
    std::map<backend_server_name, std::uint32_t> wanted_connections;
    /// `servers_digest` of the servers it knows that speak in sessions.
    std::uint64_t servers_digest = 0;
    /// Where it runs statements for others, if it does.
    std::optional<endpoint> relay;
    /// Of the plan that it follows.
    std::uint64_t relays_digest = 0;
    /// It is about to end, and gets no new work from others.
    bool is_stopping = false;

    friend bool operator==(const lease_request&, const lease_request&) = default;
};

/// The entry host gives its lease back and goes.
struct lease_return
{
    entry_key entry;

    friend bool operator==(const lease_return&, const lease_return&) = default;
};

struct lease_grant
{
    entry_key entry;
    std::uint64_t sequence = 0;
    milliseconds duration{0};
    std::map<backend_server_name, std::uint32_t> connections;
    /// The control hosts that vote, for entry hosts that know others from their settings.
    std::vector<host_name> control_hosts;
    /// Set when the entry host follows another plan than the present one.
    std::optional<relay_plan> relays{};

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

struct not_leader
{
    std::optional<host_name> leader;

    friend bool operator==(const not_leader&, const not_leader&) = default;
};

struct group_view
{
    group_name name;
    directory::group_record record;

    friend bool operator==(const group_view&, const group_view&) = default;
};

/// What changed between two revisions. With `from` zero it is the whole view.
struct view_update
{
    view_revision from = 0;
    view_revision to = 0;
    std::optional<shared_value<configuration::versioned_configuration>> configuration;
    std::vector<group_view> groups;

    friend bool operator==(const view_update&, const view_update&) = default;
};

/// Reports passed on, both ways.
struct server_reports
{
    std::vector<server_report> reports;
    /// There are no other servers that speak in sessions.
    bool is_whole_list = false;

    friend bool operator==(const server_reports&, const server_reports&) = default;
};

/// An entry host could not use a primary.
struct suspicion
{
    group_name group;
    group_term term = 0;
    backend_server_name server;
    std::string reason;
    /// The primary answers, but its commits wait.
    bool is_stalled = false;

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

struct probe_order
{
    std::uint64_t probe = 0;
    backend_server_name server;
    endpoint address;
    group_name group;
    server_interface speaks = server_interface::requests;
    /// Not zero: a replica also stops receiving from primaries of lower terms.
    group_term pause_below = 0;

    friend bool operator==(const probe_order&, const probe_order&) = default;
};

struct probe_report
{
    std::uint64_t probe = 0;
    backend_server_name server;
    /// Empty when the backend server did not answer.
    std::optional<server_report> status;

    friend bool operator==(const probe_report&, const probe_report&) = default;
};

/// Acknowledge no more writes of the term. With `drain`, finish those in flight first and start none.
struct close_order
{
    group_name group;
    group_term term = 0;
    bool drain = false;

    friend bool operator==(const close_order&, const close_order&) = default;
};

struct close_confirmation
{
    entry_key entry;
    group_name group;
    group_term term = 0;
    bool drain = false;
    /// The newest position whose commit this entry host has acknowledged to a caller.
    group_position acknowledged;

    friend bool operator==(const close_confirmation&, const close_confirmation&) = default;
};

/// Ends a drain whose change was given up.
struct resume_order
{
    group_name group;
    group_term term = 0;

    friend bool operator==(const resume_order&, const resume_order&) = default;
};

enum class takeover_kind
{
    promote,
    follow
};

/// Asks an entry host to tell a backend server its part in a term.
struct takeover_order
{
    std::uint64_t order = 0;
    takeover_kind kind = takeover_kind::follow;
    group_name group;
    backend_server_name server;
    endpoint address;
    group_term term = 0;
    server_interface speaks = server_interface::requests;
    /// For follow in sessions: the server believes to be the primary and is told that it is not; otherwise it
    /// is told to receive again.
    bool demotes = false;
    /// For follow: where the term's primary is, and the position the term starts from.
    endpoint primary_address;
    log_position start = 0;

    friend bool operator==(const takeover_order&, const takeover_order&) = default;
};

struct takeover_report
{
    std::uint64_t order = 0;
    group_name group;
    backend_server_name server;
    takeover_kind kind = takeover_kind::follow;
    group_term term = 0;
    bool done = false;
    /// For promote: the position from which the new term starts.
    log_position start = 0;

    friend bool operator==(const takeover_report&, const takeover_report&) = default;
};

using claim_command =
    std::variant<directory::claim_request, directory::record_outcome, directory::withdraw_claim>;

struct claim_call
{
    std::uint64_t call = 0;
    claim_command what;

    friend bool operator==(const claim_call&, const claim_call&) = default;
};

struct claim_reply
{
    std::uint64_t call = 0;
    directory::claim_answer answer;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

using message =
    std::variant<consensus::vote_request, consensus::vote_answer, consensus::append_request,
                 consensus::append_answer, consensus::install_request, consensus::join_request,
                 consensus::member_hint, lease_request, lease_return, lease_grant, not_leader, view_update,
                 server_reports, suspicion, probe_order, probe_report, close_order, close_confirmation,
                 resume_order, takeover_order, takeover_report, claim_call, claim_reply>;

} // namespace hickorymount::protocol
