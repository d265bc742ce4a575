#pragma once

#include "codec/description.h"
#include "logging/descriptions.h"
#include "protocol/descriptions.h"
#include "supervision/types.h"

namespace hickorymount::codec {

template <>
struct description<supervision::primary_change_stage>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"confirming", supervision::primary_change_stage::confirming},
                   enumerator{"holding", supervision::primary_change_stage::holding},
                   enumerator{"catching_up", supervision::primary_change_stage::catching_up},
                   enumerator{"closing", supervision::primary_change_stage::closing},
                   enumerator{"revoking", supervision::primary_change_stage::revoking},
                   enumerator{"collecting", supervision::primary_change_stage::collecting_positions},
                   enumerator{"naming", supervision::primary_change_stage::naming_candidate},
                   enumerator{"promoting", supervision::primary_change_stage::promoting},
                   enumerator{"opening", supervision::primary_change_stage::opening}};
};

template <>
struct description<supervision::claim_sender>
{
    using type = supervision::claim_sender;
    static constexpr std::string_view name = "claim_caller";
    static constexpr auto members = std::tuple{member{"entry", &type::entry}, member{"call", &type::call_id}};
};

template <>
struct description<supervision::operator_sender>
{
    using type = supervision::operator_sender;
    static constexpr std::string_view name = "operator_caller";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::message_received>
{
    using type = supervision::message_received;
    static constexpr std::string_view name = "entry_message";
    static constexpr auto members =
        std::tuple{member{"from", &type::sender}, member{"content", &type::content}};
};

template <>
struct description<supervision::command_applied>
{
    using type = supervision::command_applied;
    static constexpr std::string_view name = "command_applied";
    static constexpr auto members =
        std::tuple{member{"index", &type::index}, member{"command", &type::command},
                   member{"report", &type::result}, member{"caller", &type::sender}};
};

template <>
struct description<supervision::configuration_change_requested>
{
    using type = supervision::configuration_change_requested;
    static constexpr std::string_view name = "configuration_asked";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"change", &type::change}};
};

template <>
struct description<supervision::configuration_replacement_requested>
{
    using type = supervision::configuration_replacement_requested;
    static constexpr std::string_view name = "replacement_asked";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"change", &type::change}};
};

template <>
struct description<supervision::server_report_received>
{
    using type = supervision::server_report_received;
    static constexpr std::string_view name = "server_announced";
    static constexpr auto members = std::tuple{member{"report", &type::report}};
};

template <>
struct description<supervision::promotion_outcome>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"accepted", supervision::promotion_outcome::accepted},
                   enumerator{"not_running", supervision::promotion_outcome::not_running},
                   enumerator{"unclear", supervision::promotion_outcome::unknown}};
};

template <>
struct description<supervision::promotion_response_received>
{
    using type = supervision::promotion_response_received;
    static constexpr std::string_view name = "promotion_answered";
    static constexpr auto members = std::tuple{
        member{"order", &type::request_id}, member{"group", &type::group}, member{"outcome", &type::outcome}};
};

template <>
struct description<supervision::request_promotion>
{
    using type = supervision::request_promotion;
    static constexpr std::string_view name = "order_promotion";
    static constexpr auto members = std::tuple{member{"order", &type::request_id},
                                               member{"group", &type::group},
                                               member{"server", &type::server},
                                               member{"holder", &type::issuer},
                                               member{"fencing_token", &type::fencing_token},
                                               member{"valid_until", &type::valid_until}};
};

template <>
struct description<supervision::primary_switch_requested>
{
    using type = supervision::primary_switch_requested;
    static constexpr std::string_view name = "switch_asked";
    static constexpr auto members = std::tuple{
        member{"request", &type::request}, member{"group", &type::group}, member{"target", &type::target}};
};

template <>
struct description<supervision::status_requested>
{
    using type = supervision::status_requested;
    static constexpr std::string_view name = "status_asked";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::configuration_requested>
{
    using type = supervision::configuration_requested;
    static constexpr std::string_view name = "configuration_shown";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::timer_expired>
{
    static constexpr std::string_view name = "time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<supervision::log_advanced>
{
    static constexpr std::string_view name = "log_progressed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<supervision::send_to_entry_host>
{
    using type = supervision::send_to_entry_host;
    static constexpr std::string_view name = "send_to_entry";
    static constexpr auto members =
        std::tuple{member{"to", &type::recipient}, member{"content", &type::content}};
};

template <>
struct description<supervision::propose_command>
{
    using type = supervision::propose_command;
    static constexpr std::string_view name = "propose";
    static constexpr auto members =
        std::tuple{member{"command", &type::command}, member{"caller", &type::sender}};
};

template <>
struct description<supervision::entry_summary>
{
    using type = supervision::entry_summary;
    static constexpr std::string_view name = "entry_summary";
    static constexpr auto members = std::tuple{
        member{"name", &type::name}, member{"incarnation", &type::incarnation}, member{"zone", &type::zone},
        member{"is_live", &type::is_live}, member{"version", &type::version}};
};

template <>
struct description<supervision::group_summary>
{
    using type = supervision::group_summary;
    static constexpr std::string_view name = "group_summary";
    static constexpr auto members = std::tuple{member{"name", &type::name}, member{"record", &type::record},
                                               member{"change", &type::change}};
};

template <>
struct description<supervision::status_summary>
{
    using type = supervision::status_summary;
    static constexpr std::string_view name = "status_summary";
    static constexpr auto members =
        std::tuple{member{"host", &type::host},       member{"is_leader", &type::is_leader},
                   member{"leader", &type::leader},   member{"term", &type::term},
                   member{"commit", &type::commit},   member{"members", &type::members},
                   member{"version", &type::version}, member{"entry_hosts", &type::entry_hosts},
                   member{"groups", &type::groups},   member{"backend_servers", &type::backend_servers},
                   member{"claims", &type::claims}};
};

template <>
struct description<supervision::refused_response>
{
    using type = supervision::refused_response;
    static constexpr std::string_view name = "refused_answer";
    static constexpr auto members =
        std::tuple{member{"reason", &type::reason}, member{"leader", &type::leader}};
};

template <>
struct description<supervision::configuration_change_response>
{
    using type = supervision::configuration_change_response;
    static constexpr std::string_view name = "configuration_answer";
    static constexpr auto members = std::tuple{
        member{"outcome", &type::outcome}, member{"version", &type::version},
        member{"is_in_force", &type::is_in_force}, member{"waiting_for", &type::unconfirmed_hosts}};
};

template <>
struct description<supervision::primary_switch_response>
{
    using type = supervision::primary_switch_response;
    static constexpr std::string_view name = "switch_answer";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"is_started", &type::is_started}};
};

template <>
struct description<supervision::configuration_response>
{
    using type = supervision::configuration_response;
    static constexpr std::string_view name = "shown_configuration";
    static constexpr auto members = std::tuple{member{"configuration", &type::configuration}};
};

template <>
struct description<supervision::send_operator_response>
{
    using type = supervision::send_operator_response;
    static constexpr std::string_view name = "answer_operator";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"answer", &type::response}};
};

} // namespace hickorymount::codec
