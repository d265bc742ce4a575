#pragma once

#include "codec/description.h"
#include "logging/descriptions.h"
#include "protocol/descriptions.h"
#include "supervision/types.h"

namespace hickorymount::codec {

template <>
struct description<supervision::change_stage>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"confirming", supervision::change_stage::confirming},
                   enumerator{"holding", supervision::change_stage::holding},
                   enumerator{"catching_up", supervision::change_stage::catching_up},
                   enumerator{"closing", supervision::change_stage::closing},
                   enumerator{"revoking", supervision::change_stage::revoking},
                   enumerator{"collecting", supervision::change_stage::collecting},
                   enumerator{"naming", supervision::change_stage::naming},
                   enumerator{"promoting", supervision::change_stage::promoting},
                   enumerator{"opening", supervision::change_stage::opening}};
};

template <>
struct description<supervision::claim_caller>
{
    using type = supervision::claim_caller;
    static constexpr std::string_view name = "claim_caller";
    static constexpr auto members = std::tuple{member{"entry", &type::entry}, member{"call", &type::call}};
};

template <>
struct description<supervision::operator_caller>
{
    using type = supervision::operator_caller;
    static constexpr std::string_view name = "operator_caller";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::entry_message>
{
    using type = supervision::entry_message;
    static constexpr std::string_view name = "entry_message";
    static constexpr auto members =
        std::tuple{member{"from", &type::from}, member{"content", &type::content}};
};

template <>
struct description<supervision::command_applied>
{
    using type = supervision::command_applied;
    static constexpr std::string_view name = "command_applied";
    static constexpr auto members =
        std::tuple{member{"index", &type::index}, member{"command", &type::command},
                   member{"report", &type::report}, member{"caller", &type::caller}};
};

template <>
struct description<supervision::configuration_asked>
{
    using type = supervision::configuration_asked;
    static constexpr std::string_view name = "configuration_asked";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"change", &type::change}};
};

template <>
struct description<supervision::replacement_asked>
{
    using type = supervision::replacement_asked;
    static constexpr std::string_view name = "replacement_asked";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"change", &type::change}};
};

template <>
struct description<supervision::server_announced>
{
    using type = supervision::server_announced;
    static constexpr std::string_view name = "server_announced";
    static constexpr auto members = std::tuple{member{"report", &type::report}};
};

template <>
struct description<supervision::promotion_outcome>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"accepted", supervision::promotion_outcome::accepted},
                   enumerator{"not_running", supervision::promotion_outcome::not_running},
                   enumerator{"unclear", supervision::promotion_outcome::unclear}};
};

template <>
struct description<supervision::promotion_answered>
{
    using type = supervision::promotion_answered;
    static constexpr std::string_view name = "promotion_answered";
    static constexpr auto members = std::tuple{member{"order", &type::order}, member{"group", &type::group},
                                               member{"outcome", &type::outcome}};
};

template <>
struct description<supervision::order_promotion>
{
    using type = supervision::order_promotion;
    static constexpr std::string_view name = "order_promotion";
    static constexpr auto members = std::tuple{member{"order", &type::order},
                                               member{"group", &type::group},
                                               member{"server", &type::server},
                                               member{"holder", &type::holder},
                                               member{"fencing_token", &type::fencing_token},
                                               member{"valid_until", &type::valid_until}};
};

template <>
struct description<supervision::switch_asked>
{
    using type = supervision::switch_asked;
    static constexpr std::string_view name = "switch_asked";
    static constexpr auto members = std::tuple{
        member{"request", &type::request}, member{"group", &type::group}, member{"target", &type::target}};
};

template <>
struct description<supervision::status_asked>
{
    using type = supervision::status_asked;
    static constexpr std::string_view name = "status_asked";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::configuration_shown>
{
    using type = supervision::configuration_shown;
    static constexpr std::string_view name = "configuration_shown";
    static constexpr auto members = std::tuple{member{"request", &type::request}};
};

template <>
struct description<supervision::time_passed>
{
    static constexpr std::string_view name = "time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<supervision::log_progressed>
{
    static constexpr std::string_view name = "log_progressed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<supervision::send_to_entry>
{
    using type = supervision::send_to_entry;
    static constexpr std::string_view name = "send_to_entry";
    static constexpr auto members = std::tuple{member{"to", &type::to}, member{"content", &type::content}};
};

template <>
struct description<supervision::propose>
{
    using type = supervision::propose;
    static constexpr std::string_view name = "propose";
    static constexpr auto members =
        std::tuple{member{"command", &type::command}, member{"caller", &type::caller}};
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
struct description<supervision::refused_answer>
{
    using type = supervision::refused_answer;
    static constexpr std::string_view name = "refused_answer";
    static constexpr auto members =
        std::tuple{member{"reason", &type::reason}, member{"leader", &type::leader}};
};

template <>
struct description<supervision::configuration_answer>
{
    using type = supervision::configuration_answer;
    static constexpr std::string_view name = "configuration_answer";
    static constexpr auto members =
        std::tuple{member{"outcome", &type::outcome}, member{"version", &type::version},
                   member{"is_in_force", &type::is_in_force}, member{"waiting_for", &type::waiting_for}};
};

template <>
struct description<supervision::switch_answer>
{
    using type = supervision::switch_answer;
    static constexpr std::string_view name = "switch_answer";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"is_started", &type::is_started}};
};

template <>
struct description<supervision::shown_configuration>
{
    using type = supervision::shown_configuration;
    static constexpr std::string_view name = "shown_configuration";
    static constexpr auto members = std::tuple{member{"configuration", &type::configuration}};
};

template <>
struct description<supervision::answer_operator>
{
    using type = supervision::answer_operator;
    static constexpr std::string_view name = "answer_operator";
    static constexpr auto members =
        std::tuple{member{"request", &type::request}, member{"answer", &type::answer}};
};

} // namespace hickorymount::codec
