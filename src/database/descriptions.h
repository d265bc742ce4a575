#pragma once

#include "codec/description.h"
#include "database/types.h"
#include "routing/descriptions.h"

namespace hickorymount::codec {

template <>
struct description<database::change>
{
    using type = database::change;
    static constexpr std::string_view name = "change";
    static constexpr auto members = std::tuple{member{"key", &type::key}, member{"value", &type::value}};
};

template <>
struct description<database::log_record>
{
    using type = database::log_record;
    static constexpr std::string_view name = "log_record";
    static constexpr auto members =
        std::tuple{member{"position", &type::position}, member{"term", &type::term},
                   member{"request", &type::request}, member{"changes", &type::changes}};
};

template <>
struct description<database::fault_settings>
{
    using type = database::fault_settings;
    static constexpr std::string_view name = "fault_settings";
    static constexpr auto members = std::tuple{member{"replication_lag", &type::replication_lag},
                                               member{"service_time", &type::service_time},
                                               member{"late", &type::late},
                                               member{"frozen", &type::frozen},
                                               member{"is_short", &type::truncates_responses},
                                               member{"is_swapped", &type::swaps_request_ids},
                                               member{"is_mute", &type::is_mute},
                                               member{"is_deaf", &type::drops_connections},
                                               member{"is_replication_cut", &type::is_replication_cut},
                                               member{"is_leaving", &type::is_leaving}};
};

template <>
struct description<database::statement>
{
    using type = database::statement;
    static constexpr std::string_view name = "statement";
    static constexpr auto members = std::tuple{member{"request", &type::request},
                                               member{"what", &type::what},
                                               member{"kind", &type::kind},
                                               member{"is_in_transaction", &type::is_in_transaction},
                                               member{"text", &type::text},
                                               member{"term", &type::term},
                                               member{"least_position", &type::least_position}};
};

template <>
struct description<database::statement_call>
{
    using type = database::statement_call;
    static constexpr std::string_view name = "statement_call";
    static constexpr auto members = std::tuple{
        member{"call", &type::call}, member{"connection", &type::connection}, member{"what", &type::request}};
};

template <>
struct description<database::database_started>
{
    using type = database::database_started;
    static constexpr std::string_view name = "database_started";
    static constexpr auto members = std::tuple{member{"settings", &type::settings}};
};

template <>
struct description<database::connection_asked>
{
    using type = database::connection_asked;
    static constexpr std::string_view name = "connection_asked";
    static constexpr auto members =
        std::tuple{member{"call", &type::call}, member{"connection", &type::connection}};
};

template <>
struct description<database::connection_closed>
{
    using type = database::connection_closed;
    static constexpr std::string_view name = "connection_closed";
    static constexpr auto members = std::tuple{member{"connection", &type::connection}};
};

template <>
struct description<database::report_asked>
{
    using type = database::report_asked;
    static constexpr std::string_view name = "report_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}};
};

template <>
struct description<database::promotion>
{
    using type = database::promotion;
    static constexpr std::string_view name = "promotion";
    static constexpr auto members = std::tuple{member{"term", &type::term}};
};

template <>
struct description<database::following>
{
    using type = database::following;
    static constexpr std::string_view name = "following";
    static constexpr auto members = std::tuple{member{"term", &type::term}, member{"primary", &type::primary},
                                               member{"start", &type::start}};
};

template <>
struct description<database::promote_asked>
{
    using type = database::promote_asked;
    static constexpr std::string_view name = "promote_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"order", &type::order}};
};

template <>
struct description<database::follow_asked>
{
    using type = database::follow_asked;
    static constexpr std::string_view name = "follow_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"order", &type::order}};
};

template <>
struct description<database::log_requested>
{
    using type = database::log_requested;
    static constexpr std::string_view name = "log_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"after", &type::after}};
};

template <>
struct description<database::records_arrived>
{
    using type = database::records_arrived;
    static constexpr std::string_view name = "records_arrived";
    static constexpr auto members =
        std::tuple{member{"asked_at", &type::asked_at}, member{"term", &type::term},
                   member{"after", &type::after}, member{"records", &type::records}};
};

template <>
struct description<database::faults_set>
{
    using type = database::faults_set;
    static constexpr std::string_view name = "faults_set";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"faults", &type::faults}};
};

template <>
struct description<database::time_passed>
{
    static constexpr std::string_view name = "time_passed";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<database::database_event>
{
    using type = database::database_event;
    static constexpr std::string_view name = "database_event";
    static constexpr auto members = std::tuple{member{"now", &type::now}, member{"what", &type::payload}};
};

template <>
struct description<database::connection_answer>
{
    using type = database::connection_answer;
    static constexpr std::string_view name = "connection_answer";
    static constexpr auto members = std::tuple{member{"is_accepted", &type::is_accepted}};
};

template <>
struct description<database::statement_done>
{
    using type = database::statement_done;
    static constexpr std::string_view name = "statement_done";
    static constexpr auto members = std::tuple{member{"request", &type::request}, member{"at", &type::at},
                                               member{"age", &type::age}, member{"body", &type::body}};
};

template <>
struct description<database::statement_rejected>
{
    using type = database::statement_rejected;
    static constexpr std::string_view name = "statement_rejected";
    static constexpr auto members = std::tuple{member{"request", &type::request},
                                               member{"reason", &type::reason}, member{"at", &type::at}};
};

template <>
struct description<database::report_answer>
{
    using type = database::report_answer;
    static constexpr std::string_view name = "report_answer";
    static constexpr auto members = std::tuple{member{"report", &type::report}};
};

template <>
struct description<database::takeover_answer>
{
    using type = database::takeover_answer;
    static constexpr std::string_view name = "takeover_answer";
    static constexpr auto members = std::tuple{member{"is_done", &type::is_done}, member{"term", &type::term},
                                               member{"start", &type::start}};
};

template <>
struct description<database::log_answer>
{
    using type = database::log_answer;
    static constexpr std::string_view name = "log_answer";
    static constexpr auto members = std::tuple{member{"term", &type::term}, member{"role", &type::role},
                                               member{"records", &type::records}};
};

template <>
struct description<database::faults_answer>
{
    using type = database::faults_answer;
    static constexpr std::string_view name = "faults_answer";
    static constexpr auto members = std::tuple{member{"faults", &type::faults}};
};

template <>
struct description<database::answer_call>
{
    using type = database::answer_call;
    static constexpr std::string_view name = "answer_call";
    static constexpr auto members = std::tuple{
        member{"call", &type::call}, member{"answer", &type::answer}, member{"not_before", &type::not_before},
        member{"is_short", &type::is_truncated}, member{"is_dropped", &type::is_dropped}};
};

template <>
struct description<database::update_background_tasks>
{
    using type = database::update_background_tasks;
    static constexpr std::string_view name = "standing_changed";
    static constexpr auto members =
        std::tuple{member{"primary", &type::primary}, member{"is_mute", &type::is_mute},
                   member{"is_replication_cut", &type::is_replication_cut}};
};

} // namespace hickorymount::codec
