#pragma once

#include "codec/description.h"
#include "configuration/descriptions.h"
#include "consensus/descriptions.h"
#include "directory/descriptions.h"
#include "limits/descriptions.h"
#include "protocol/types.h"
#include "session_token/descriptions.h"

namespace hickorymount::codec {

template <>
struct description<protocol::server_role>
{
    static constexpr auto enumerators = std::tuple{enumerator{"primary", protocol::server_role::primary},
                                                   enumerator{"replica", protocol::server_role::replica}};
};

template <>
struct description<protocol::server_interface>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"requests", protocol::server_interface::http},
                   enumerator{"sessions", protocol::server_interface::sessions}};
};

template <>
struct description<protocol::server_role_change>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"promote", protocol::server_role_change::promote},
                   enumerator{"follow", protocol::server_role_change::follow}};
};

template <>
struct description<protocol::endpoint>
{
    using type = protocol::endpoint;
    static constexpr std::string_view name = "endpoint";
    static constexpr auto members =
        std::tuple{member{"address", &type::address}, member{"port", &type::port}};
};

template <>
struct description<protocol::server_report>
{
    using type = protocol::server_report;
    static constexpr std::string_view name = "server_report";
    static constexpr auto members = std::tuple{member{"name", &type::name},
                                               member{"group", &type::group},
                                               member{"zone", &type::zone},
                                               member{"address", &type::address},
                                               member{"started_at", &type::started_at},
                                               member{"sequence", &type::sequence},
                                               member{"role", &type::role},
                                               member{"at", &type::position},
                                               member{"age", &type::data_age},
                                               member{"leaving", &type::is_leaving},
                                               member{"speaks", &type::interface},
                                               member{"report_interval", &type::report_interval},
                                               member{"is_gone", &type::has_left},
                                               member{"slots", &type::slots}};
};

template <>
struct description<protocol::relay_host>
{
    using type = protocol::relay_host;
    static constexpr std::string_view name = "relay_host";
    static constexpr auto members = std::tuple{member{"name", &type::name}, member{"address", &type::address},
                                               member{"zone", &type::zone}};
};

template <>
struct description<protocol::group_access>
{
    using type = protocol::group_access;
    static constexpr std::string_view name = "group_access";
    static constexpr auto members =
        std::tuple{member{"is_direct", &type::is_direct}, member{"relays", &type::relay_indexes}};
};

template <>
struct description<protocol::relay_plan>
{
    using type = protocol::relay_plan;
    static constexpr std::string_view name = "relay_plan";
    static constexpr auto members = std::tuple{
        member{"digest", &type::digest}, member{"hosts", &type::relays}, member{"groups", &type::groups}};
};

template <>
struct description<protocol::lease_request>
{
    using type = protocol::lease_request;
    static constexpr std::string_view name = "lease_request";
    static constexpr auto members = std::tuple{member{"entry", &type::entry},
                                               member{"zone", &type::zone},
                                               member{"sequence", &type::sequence},
                                               member{"revision", &type::applied_revision},
                                               member{"version", &type::applied_version},
                                               member{"held_connections", &type::held_connections},
                                               member{"wanted_connections", &type::wanted_connections},
                                               member{"servers_digest", &type::servers_digest},
                                               member{"relay", &type::relay_address},
                                               member{"relays_digest", &type::relay_plan_digest},
                                               member{"is_stopping", &type::is_stopping},
                                               member{"granted", &type::granted_sequence},
                                               member{"region", &type::region},
                                               member{"customers", &type::customer_demands}};
};

template <>
struct description<protocol::lease_release>
{
    using type = protocol::lease_release;
    static constexpr std::string_view name = "lease_return";
    static constexpr auto members =
        std::tuple{member{"entry", &type::entry}, member{"acknowledged", &type::acknowledged}};
};

template <>
struct description<protocol::lease_grant>
{
    using type = protocol::lease_grant;
    static constexpr std::string_view name = "lease_grant";
    static constexpr auto members = std::tuple{member{"entry", &type::entry},
                                               member{"sequence", &type::sequence},
                                               member{"duration", &type::duration},
                                               member{"connections", &type::connection_limits},
                                               member{"control_hosts", &type::voting_control_hosts},
                                               member{"relays", &type::new_relay_plan},
                                               member{"revision", &type::required_revision},
                                               member{"quotas", &type::customer_quotas},
                                               member{"entry_hosts", &type::entry_hosts}};
};

template <>
struct description<protocol::not_leader>
{
    using type = protocol::not_leader;
    static constexpr std::string_view name = "not_leader";
    static constexpr auto members = std::tuple{member{"leader", &type::leader}};
};

template <>
struct description<protocol::group_view>
{
    using type = protocol::group_view;
    static constexpr std::string_view name = "group_view";
    static constexpr auto members = std::tuple{member{"name", &type::name}, member{"record", &type::record}};
};

template <>
struct description<protocol::view_update>
{
    using type = protocol::view_update;
    static constexpr std::string_view name = "view_update";
    static constexpr auto members =
        std::tuple{member{"from", &type::from_revision}, member{"to", &type::to_revision},
                   member{"groups", &type::groups}};
};

template <>
struct description<protocol::configuration_update>
{
    using type = protocol::configuration_update;
    static constexpr std::string_view name = "configuration_update";
    static constexpr auto members = std::tuple{member{"difference", &type::difference}};
};

template <>
struct description<protocol::server_reports>
{
    using type = protocol::server_reports;
    static constexpr std::string_view name = "server_reports";
    static constexpr auto members =
        std::tuple{member{"reports", &type::reports}, member{"is_whole_list", &type::is_complete}};
};

template <>
struct description<protocol::primary_suspicion>
{
    using type = protocol::primary_suspicion;
    static constexpr std::string_view name = "suspicion";
    static constexpr auto members = std::tuple{
        member{"group", &type::group}, member{"term", &type::term}, member{"server", &type::server},
        member{"reason", &type::reason}, member{"is_stalled", &type::are_commits_stalled}};
};

template <>
struct description<protocol::probe_request>
{
    using type = protocol::probe_request;
    static constexpr std::string_view name = "probe_order";
    static constexpr auto members =
        std::tuple{member{"probe", &type::probe_id},   member{"server", &type::server},
                   member{"address", &type::address},  member{"group", &type::group},
                   member{"speaks", &type::interface}, member{"pause_below", &type::pause_below_term}};
};

template <>
struct description<protocol::probe_response>
{
    using type = protocol::probe_response;
    static constexpr std::string_view name = "probe_report";
    static constexpr auto members = std::tuple{
        member{"probe", &type::probe_id}, member{"server", &type::server}, member{"status", &type::report}};
};

template <>
struct description<protocol::close_term_request>
{
    using type = protocol::close_term_request;
    static constexpr std::string_view name = "close_order";
    static constexpr auto members = std::tuple{member{"group", &type::group}, member{"term", &type::term},
                                               member{"drain", &type::finish_in_flight}};
};

template <>
struct description<protocol::close_term_response>
{
    using type = protocol::close_term_response;
    static constexpr std::string_view name = "close_confirmation";
    static constexpr auto members = std::tuple{
        member{"entry", &type::entry}, member{"group", &type::group}, member{"term", &type::term},
        member{"drain", &type::finish_in_flight}, member{"acknowledged", &type::acknowledged_position}};
};

template <>
struct description<protocol::resume_term_request>
{
    using type = protocol::resume_term_request;
    static constexpr std::string_view name = "resume_order";
    static constexpr auto members = std::tuple{member{"group", &type::group}, member{"term", &type::term}};
};

template <>
struct description<protocol::role_change_request>
{
    using type = protocol::role_change_request;
    static constexpr std::string_view name = "takeover_order";
    static constexpr auto members = std::tuple{member{"order", &type::request_id},
                                               member{"kind", &type::kind},
                                               member{"group", &type::group},
                                               member{"server", &type::server},
                                               member{"address", &type::address},
                                               member{"term", &type::term},
                                               member{"speaks", &type::interface},
                                               member{"demotes", &type::is_demotion},
                                               member{"primary_address", &type::primary_address},
                                               member{"start", &type::term_start}};
};

template <>
struct description<protocol::role_change_response>
{
    using type = protocol::role_change_response;
    static constexpr std::string_view name = "takeover_report";
    static constexpr auto members = std::tuple{
        member{"order", &type::request_id}, member{"group", &type::group}, member{"server", &type::server},
        member{"kind", &type::kind},        member{"term", &type::term},   member{"done", &type::is_done},
        member{"start", &type::term_start}};
};

template <>
struct description<protocol::claim_request>
{
    using type = protocol::claim_request;
    static constexpr std::string_view name = "claim_call";
    static constexpr auto members =
        std::tuple{member{"call", &type::call_id}, member{"what", &type::command}};
};

template <>
struct description<protocol::claim_response>
{
    using type = protocol::claim_response;
    static constexpr std::string_view name = "claim_reply";
    static constexpr auto members =
        std::tuple{member{"call", &type::call_id}, member{"answer", &type::result}};
};

} // namespace hickorymount::codec
