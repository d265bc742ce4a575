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
                   member{"request", &type::request_id}, member{"changes", &type::changes}};
};

template <>
struct description<database::fault_settings>
{
    using type = database::fault_settings;
    static constexpr std::string_view name = "fault_settings";
    static constexpr auto members = std::tuple{member{"replication_lag", &type::replication_lag},
                                               member{"service_time", &type::service_time},
                                               member{"late", &type::response_delay},
                                               member{"frozen", &type::freeze_duration},
                                               member{"is_short", &type::truncates_responses},
                                               member{"is_swapped", &type::swaps_request_ids},
                                               member{"is_mute", &type::suppresses_announcements},
                                               member{"is_deaf", &type::drops_connections},
                                               member{"is_replication_cut", &type::blocks_replication},
                                               member{"is_leaving", &type::is_leaving}};
};

template <>
struct description<database::statement_request>
{
    using type = database::statement_request;
    static constexpr std::string_view name = "statement";
    static constexpr auto members = std::tuple{member{"request", &type::request_id},
                                               member{"what", &type::operation},
                                               member{"kind", &type::kind},
                                               member{"is_in_transaction", &type::is_in_transaction},
                                               member{"text", &type::text},
                                               member{"term", &type::term},
                                               member{"least_position", &type::minimum_position}};
};

template <>
struct description<database::statement_received>
{
    using type = database::statement_received;
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
struct description<database::connection_requested>
{
    using type = database::connection_requested;
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
struct description<database::report_requested>
{
    using type = database::report_requested;
    static constexpr std::string_view name = "report_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}};
};

template <>
struct description<database::promotion_order>
{
    using type = database::promotion_order;
    static constexpr std::string_view name = "promotion";
    static constexpr auto members = std::tuple{member{"term", &type::term}};
};

template <>
struct description<database::replication_order>
{
    using type = database::replication_order;
    static constexpr std::string_view name = "following";
    static constexpr auto members = std::tuple{member{"term", &type::term}, member{"primary", &type::primary},
                                               member{"start", &type::term_start}};
};

template <>
struct description<database::promotion_requested>
{
    using type = database::promotion_requested;
    static constexpr std::string_view name = "promote_asked";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"order", &type::order}};
};

template <>
struct description<database::replication_requested>
{
    using type = database::replication_requested;
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
struct description<database::records_received>
{
    using type = database::records_received;
    static constexpr std::string_view name = "records_arrived";
    static constexpr auto members =
        std::tuple{member{"asked_at", &type::requested_at}, member{"term", &type::term},
                   member{"after", &type::after_position}, member{"records", &type::records}};
};

template <>
struct description<database::faults_changed>
{
    using type = database::faults_changed;
    static constexpr std::string_view name = "faults_set";
    static constexpr auto members = std::tuple{member{"call", &type::call}, member{"faults", &type::faults}};
};

template <>
struct description<database::timer_expired>
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
struct description<database::connection_response>
{
    using type = database::connection_response;
    static constexpr std::string_view name = "connection_answer";
    static constexpr auto members = std::tuple{member{"is_accepted", &type::is_accepted}};
};

template <>
struct description<database::statement_completed>
{
    using type = database::statement_completed;
    static constexpr std::string_view name = "statement_done";
    static constexpr auto members =
        std::tuple{member{"request", &type::request_id}, member{"at", &type::position},
                   member{"age", &type::data_age}, member{"body", &type::body}};
};

template <>
struct description<database::statement_rejected>
{
    using type = database::statement_rejected;
    static constexpr std::string_view name = "statement_rejected";
    static constexpr auto members = std::tuple{
        member{"request", &type::request_id}, member{"reason", &type::reason}, member{"at", &type::position}};
};

template <>
struct description<database::report_response>
{
    using type = database::report_response;
    static constexpr std::string_view name = "report_answer";
    static constexpr auto members = std::tuple{member{"report", &type::report}};
};

template <>
struct description<database::takeover_response>
{
    using type = database::takeover_response;
    static constexpr std::string_view name = "takeover_answer";
    static constexpr auto members =
        std::tuple{member{"is_done", &type::is_accepted}, member{"term", &type::term},
                   member{"start", &type::last_position}};
};

template <>
struct description<database::log_response>
{
    using type = database::log_response;
    static constexpr std::string_view name = "log_answer";
    static constexpr auto members = std::tuple{member{"term", &type::term}, member{"role", &type::role},
                                               member{"records", &type::records}};
};

template <>
struct description<database::faults_response>
{
    using type = database::faults_response;
    static constexpr std::string_view name = "faults_answer";
    static constexpr auto members = std::tuple{member{"faults", &type::faults}};
};

template <>
struct description<database::send_response>
{
    using type = database::send_response;
    static constexpr std::string_view name = "answer_call";
    static constexpr auto members =
        std::tuple{member{"call", &type::call}, member{"answer", &type::response},
                   member{"not_before", &type::not_before}, member{"is_short", &type::is_truncated},
                   member{"is_dropped", &type::is_dropped}};
};

template <>
struct description<database::update_background_tasks>
{
    using type = database::update_background_tasks;
    static constexpr std::string_view name = "standing_changed";
    static constexpr auto members =
        std::tuple{member{"primary", &type::primary}, member{"is_mute", &type::suppresses_announcements},
                   member{"is_replication_cut", &type::blocks_replication}};
};

} // namespace hickorymount::codec
