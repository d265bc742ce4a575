#pragma once

#include "codec/description.h"
#include "logging/descriptions.h"
#include "protocol/descriptions.h"
#include "routing/types.h"

namespace hickorymount::codec {

template <>
struct description<routing::operation_kind>
{
    static constexpr auto enumerators = std::tuple{enumerator{"run", routing::operation_kind::run},
                                                   enumerator{"begin", routing::operation_kind::begin},
                                                   enumerator{"commit", routing::operation_kind::commit},
                                                   enumerator{"rollback", routing::operation_kind::rollback}};
};

template <>
struct description<routing::refusal_reason>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"draining", routing::refusal_reason::draining},
                   enumerator{"not_ready", routing::refusal_reason::not_ready},
                   enumerator{"unknown_group", routing::refusal_reason::unknown_group},
                   enumerator{"unknown_class", routing::refusal_reason::unknown_class},
                   enumerator{"class_not_allowed", routing::refusal_reason::class_not_allowed},
                   enumerator{"deadline_passed", routing::refusal_reason::deadline_passed},
                   enumerator{"queue_full", routing::refusal_reason::queue_full},
                   enumerator{"no_connection_granted", routing::refusal_reason::no_connection_granted},
                   enumerator{"session_position_lost", routing::refusal_reason::session_position_lost},
                   enumerator{"transaction_elsewhere", routing::refusal_reason::transaction_elsewhere},
                   enumerator{"transaction_ended", routing::refusal_reason::transaction_ended},
                   enumerator{"transaction_busy", routing::refusal_reason::transaction_busy},
                   enumerator{"key_missing", routing::refusal_reason::key_missing},
                   enumerator{"key_malformed", routing::refusal_reason::key_malformed},
                   enumerator{"key_too_old", routing::refusal_reason::key_too_old},
                   enumerator{"key_reused", routing::refusal_reason::key_reused},
                   enumerator{"key_not_allowed", routing::refusal_reason::key_not_allowed},
                   enumerator{"control_unavailable", routing::refusal_reason::control_unavailable}};
};

template <>
struct description<routing::request_stage>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"claiming", routing::request_stage::claiming},
                   enumerator{"queued", routing::request_stage::queued},
                   enumerator{"running", routing::request_stage::running},
                   enumerator{"replicating", routing::request_stage::replicating}};
};

template <>
struct description<routing::timer_kind>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"deadline", routing::timer_kind::deadline},
                   enumerator{"slow_statement", routing::timer_kind::slow_statement},
                   enumerator{"claim_resend", routing::timer_kind::claim_resend},
                   enumerator{"queue_retry", routing::timer_kind::queue_retry},
                   enumerator{"transaction_idle", routing::timer_kind::transaction_idle},
                   enumerator{"position_poll", routing::timer_kind::position_poll}};
};

template <>
struct description<routing::server_refusal_reason>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"leaving", routing::server_refusal_reason::leaving},
                   enumerator{"not_primary", routing::server_refusal_reason::not_primary},
                   enumerator{"wrong_term", routing::server_refusal_reason::wrong_term},
                   enumerator{"behind", routing::server_refusal_reason::behind},
                   enumerator{"busy", routing::server_refusal_reason::busy},
                   enumerator{"too_many_connections", routing::server_refusal_reason::too_many_connections},
                   enumerator{"no_transaction", routing::server_refusal_reason::no_transaction}};
};

template <>
struct description<routing::caller_request>
{
    using type = routing::caller_request;
    static constexpr std::string_view name = "caller_request";
    static constexpr auto members = std::tuple{member{"request", &type::request},
                                               member{"group", &type::group},
                                               member{"class_of_request", &type::request_class},
                                               member{"what", &type::operation},
                                               member{"statement", &type::statement},
                                               member{"transaction", &type::transaction},
                                               member{"token", &type::token},
                                               member{"key", &type::key},
                                               member{"timeout", &type::timeout}};
};

template <>
struct description<routing::caller_response>
{
    using type = routing::caller_response;
    static constexpr std::string_view name = "whole_answer";
    static constexpr auto members = std::tuple{member{"body", &type::body},
                                               member{"token", &type::token},
                                               member{"served_by", &type::served_by},
                                               member{"role", &type::role},
                                               member{"transaction", &type::transaction},
                                               member{"is_repeated", &type::is_repeated},
                                               member{"valid_until", &type::valid_until}};
};

template <>
struct description<routing::not_run>
{
    using type = routing::not_run;
    static constexpr std::string_view name = "not_run";
    static constexpr auto members =
        std::tuple{member{"reason", &type::reason}, member{"step", &type::step}, member{"peer", &type::peer},
                   member{"detail", &type::detail}, member{"token", &type::token}};
};

template <>
struct description<routing::outcome_unknown>
{
    using type = routing::outcome_unknown;
    static constexpr std::string_view name = "outcome_unknown";
    static constexpr auto members =
        std::tuple{member{"step", &type::step}, member{"peer", &type::peer}, member{"detail", &type::detail}};
};

template <>
struct description<routing::entry_started>
{
    using type = routing::entry_started;
    static constexpr std::string_view name = "entry_started";
    static constexpr auto members = std::tuple{member{"self", &type::self},
                                               member{"zone", &type::zone},
                                               member{"control_hosts", &type::control_hosts},
                                               member{"relay", &type::relay_address},
                                               member{"traffic_thread", &type::has_traffic_thread},
                                               member{"region", &type::region},
                                               member{"limits", &type::limit_bounds}};
};

template <>
struct description<routing::control_message_received>
{
    using type = routing::control_message_received;
    static constexpr std::string_view name = "control_message";
    static constexpr auto members =
        std::tuple{member{"from", &type::sender}, member{"content", &type::content}};
};

template <>
struct description<routing::control_connected>
{
    using type = routing::control_connected;
    static constexpr std::string_view name = "control_connected";
    static constexpr auto members = std::tuple{member{"host", &type::control_host}};
};

template <>
struct description<routing::server_report_received>
{
    using type = routing::server_report_received;
    static constexpr std::string_view name = "announced";
    static constexpr auto members = std::tuple{member{"report", &type::report}};
};

template <>
struct description<routing::statement_completed>
{
    using type = routing::statement_completed;
    static constexpr std::string_view name = "statement_answered";
    static constexpr auto members = std::tuple{
        member{"request", &type::request}, member{"connection", &type::connection},
        member{"at", &type::position}, member{"age", &type::data_age}, member{"body", &type::body}};
};

template <>
struct description<routing::statement_refused>
{
    using type = routing::statement_refused;
    static constexpr std::string_view name = "statement_refused";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"connection", &type::connection},
                   member{"reason", &type::reason}, member{"at", &type::position}};
};

template <>
struct description<routing::statement_not_sent>
{
    using type = routing::statement_not_sent;
    static constexpr std::string_view name = "statement_not_sent";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"connection", &type::connection},
                   member{"reason", &type::reason}};
};

template <>
struct description<routing::statement_connection_lost>
{
    using type = routing::statement_connection_lost;
    static constexpr std::string_view name = "statement_lost";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"connection", &type::connection},
                   member{"reason", &type::reason}};
};

template <>
struct description<routing::position_received>
{
    using type = routing::position_received;
    static constexpr std::string_view name = "position_told";
    static constexpr auto members =
        std::tuple{member{"connection", &type::connection}, member{"report", &type::report}};
};

template <>
struct description<routing::connection_opened>
{
    using type = routing::connection_opened;
    static constexpr std::string_view name = "connection_opened";
    static constexpr auto members =
        std::tuple{member{"server", &type::server}, member{"connection", &type::connection}};
};

template <>
struct description<routing::connection_closed>
{
    using type = routing::connection_closed;
    static constexpr std::string_view name = "connection_ended";
    static constexpr auto members =
        std::tuple{member{"server", &type::server}, member{"connection", &type::connection},
                   member{"reason", &type::reason}};
};

template <>
struct description<routing::probe_finished>
{
    using type = routing::probe_finished;
    static constexpr std::string_view name = "probe_finished";
    static constexpr auto members =
        std::tuple{member{"asked_by", &type::requester}, member{"report", &type::response}};
};

template <>
struct description<routing::role_change_finished>
{
    using type = routing::role_change_finished;
    static constexpr std::string_view name = "takeover_finished";
    static constexpr auto members =
        std::tuple{member{"asked_by", &type::requester}, member{"report", &type::response}};
};

template <>
struct description<routing::timer_expired>
{
    static constexpr std::string_view name = "time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<routing::connection_usage>
{
    using type = routing::connection_usage;
    static constexpr std::string_view name = "session_use";
    static constexpr auto members = std::tuple{member{"open", &type::open}, member{"wanted", &type::wanted}};
};

template <>
struct description<routing::hold_progress>
{
    using type = routing::hold_progress;
    static constexpr std::string_view name = "session_hold";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"in_flight", &type::in_flight}};
};

template <>
struct description<routing::traffic_reported>
{
    using type = routing::traffic_reported;
    static constexpr std::string_view name = "sessions_told";
    static constexpr auto members = std::tuple{member{"uses", &type::connection_usages},
                                               member{"commits", &type::acknowledged_commits},
                                               member{"holds", &type::holds},
                                               member{"closed", &type::closed_terms},
                                               member{"customers", &type::customer_demands},
                                               member{"needs_quota", &type::needs_quota}};
};

template <>
struct description<routing::control_hosts_changed>
{
    using type = routing::control_hosts_changed;
    static constexpr std::string_view name = "control_hosts_named";
    static constexpr auto members = std::tuple{member{"hosts", &type::hosts}};
};

template <>
struct description<routing::primary_suspected>
{
    using type = routing::primary_suspected;
    static constexpr std::string_view name = "primary_suspected";
    static constexpr auto members = std::tuple{
        member{"group", &type::group}, member{"term", &type::term}, member{"server", &type::server},
        member{"reason", &type::reason}, member{"is_stalled", &type::are_commits_stalled}};
};

template <>
struct description<routing::shutdown_started>
{
    static constexpr std::string_view name = "stop_announced";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<routing::drain_requested>
{
    using type = routing::drain_requested;
    static constexpr std::string_view name = "drain_asked";
    static constexpr auto members = std::tuple{member{"commits_final", &type::are_commits_final}};
};

template <>
struct description<routing::entry_event>
{
    using type = routing::entry_event;
    static constexpr std::string_view name = "entry_event";
    static constexpr auto members = std::tuple{member{"now", &type::now}, member{"wall", &type::wall_time},
                                               member{"what", &type::payload}};
};

template <>
struct description<routing::run_statement>
{
    using type = routing::run_statement;
    static constexpr std::string_view name = "run_statement";
    static constexpr auto members = std::tuple{member{"request", &type::request},
                                               member{"server", &type::server},
                                               member{"connection", &type::connection},
                                               member{"what", &type::operation},
                                               member{"kind", &type::kind},
                                               member{"is_in_transaction", &type::is_in_transaction},
                                               member{"statement", &type::statement},
                                               member{"term", &type::term},
                                               member{"least_position", &type::minimum_position},
                                               member{"timeout", &type::timeout}};
};

template <>
struct description<routing::request_position>
{
    using type = routing::request_position;
    static constexpr std::string_view name = "ask_position";
    static constexpr auto members =
        std::tuple{member{"server", &type::server}, member{"connection", &type::connection}};
};

template <>
struct description<routing::open_connection>
{
    using type = routing::open_connection;
    static constexpr std::string_view name = "open_connection";
    static constexpr auto members =
        std::tuple{member{"server", &type::server}, member{"address", &type::address},
                   member{"connection", &type::connection}};
};

template <>
struct description<routing::close_connection>
{
    using type = routing::close_connection;
    static constexpr std::string_view name = "close_connection";
    static constexpr auto members = std::tuple{member{"connection", &type::connection}};
};

template <>
struct description<routing::send_to_control>
{
    using type = routing::send_to_control;
    static constexpr std::string_view name = "send_to_control";
    static constexpr auto members =
        std::tuple{member{"to", &type::recipient}, member{"content", &type::content}};
};

template <>
struct description<routing::send_response>
{
    using type = routing::send_response;
    static constexpr std::string_view name = "answer_caller";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"outcome", &type::outcome}};
};

template <>
struct description<routing::probe_server>
{
    using type = routing::probe_server;
    static constexpr std::string_view name = "probe_server";
    static constexpr auto members =
        std::tuple{member{"asked_by", &type::requester}, member{"order", &type::request}};
};

template <>
struct description<routing::send_role_change>
{
    using type = routing::send_role_change;
    static constexpr std::string_view name = "tell_server";
    static constexpr auto members =
        std::tuple{member{"asked_by", &type::requester}, member{"order", &type::request}};
};

template <>
struct description<routing::report_drained>
{
    static constexpr std::string_view name = "drained";
    static constexpr auto members = std::tuple{};
};

} // namespace hickorymount::codec
