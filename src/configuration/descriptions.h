#pragma once

#include "codec/description.h"
#include "configuration/types.h"

namespace hickorymount::codec {

template <>
struct description<configuration::statement_kind>
{
    static constexpr auto enumerators = std::tuple{enumerator{"read", configuration::statement_kind::read},
                                                   enumerator{"write", configuration::statement_kind::write}};
};

template <>
struct description<configuration::acknowledgement_level>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"primary", configuration::acknowledgement_level::primary},
                   enumerator{"replica", configuration::acknowledgement_level::replica}};
};

template <>
struct description<configuration::class_settings>
{
    using type = configuration::class_settings;
    static constexpr std::string_view name = "class";
    static constexpr auto members = std::tuple{
        member{"kind", &type::kind},
        member{"max_age", &type::max_age},
        member{"acknowledged_by", &type::acknowledged_by},
        member{"repeatable", &type::repeatable},
        member{"key_retention", &type::key_retention},
        member{"deadline", &type::deadline},
        member{"queue_limit", &type::queue_limit},
    };
};

template <>
struct description<configuration::group_settings>
{
    using type = configuration::group_settings;
    static constexpr std::string_view name = "group";
    static constexpr auto members = std::tuple{
        member{"instances", &type::instances},
        member{"slots", &type::slots},
        member{"connections", &type::connections},
        member{"connection_cost", &type::connection_setup_time},
    };
};

template <>
struct description<configuration::read_consistency>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"primary", configuration::read_consistency::primary},
                   enumerator{"bounded_staleness", configuration::read_consistency::bounded_staleness},
                   enumerator{"read_your_writes", configuration::read_consistency::read_your_writes}};
};

template <>
struct description<configuration::database_route>
{
    using type = configuration::database_route;
    static constexpr std::string_view name = "database_route";
    static constexpr auto members = std::tuple{
        member{"name", &type::name},
        member{"database", &type::database},
        member{"path_prefix", &type::path_prefix},
        member{"group", &type::group},
        member{"consistency", &type::consistency},
        member{"max_staleness", &type::max_staleness},
        member{"statement_timeout", &type::statement_timeout},
        member{"target_latency", &type::target_latency},
        member{"priority", &type::priority},
        member{"max_attempts", &type::max_attempts},
        member{"public", &type::is_public},
    };
};

template <>
struct description<configuration::operation_limit>
{
    using type = configuration::operation_limit;
    static constexpr std::string_view name = "operation_limit";
    static constexpr auto members =
        std::tuple{member{"per_second", &type::operations_per_second}, member{"burst", &type::burst}};
};

template <>
struct description<configuration::customer_settings>
{
    using type = configuration::customer_settings;
    static constexpr std::string_view name = "customer";
    static constexpr auto members = std::tuple{member{"priority", &type::priority},
                                               member{"limit", &type::limit}, member{"keys", &type::keys}};
};

template <>
struct description<configuration::configuration>
{
    using type = configuration::configuration;
    static constexpr std::string_view name = "configuration";
    static constexpr auto members = std::tuple{
        member{"deployment", &type::deployment},
        member{"tenant", &type::tenant},
        member{"zones", &type::zones},
        member{"entry_hosts", &type::entry_host_count},
        member{"groups", &type::groups},
        member{"classes", &type::classes},
        member{"databases", &type::database_routes},
        member{"identifies_customers", &type::identifies_customers},
        member{"customers", &type::customers},
        member{"transaction_idle_timeout", &type::transaction_idle_timeout},
        member{"source", &type::source_document},
    };
};

template <>
struct description<configuration::versioned_configuration>
{
    using type = configuration::versioned_configuration;
    static constexpr std::string_view name = "versioned_configuration";
    static constexpr auto members =
        std::tuple{member{"version", &type::version}, member{"content", &type::content}};
};

template <>
struct description<configuration::route_key>
{
    using type = configuration::route_key;
    static constexpr std::string_view name = "route_key";
    static constexpr auto members =
        std::tuple{member{"database", &type::database}, member{"path_prefix", &type::path_prefix}};
};

template <>
struct description<configuration::route_table>
{
    using type = configuration::route_table;
    static constexpr std::string_view name = "route_table";
    static constexpr auto members =
        std::tuple{member{"settings", &type::settings}, member{"databases", &type::databases},
                   member{"indexes", &type::settings_indexes}};
};

template <>
struct description<configuration::configuration_difference>
{
    using type = configuration::configuration_difference;
    static constexpr std::string_view name = "configuration_difference";
    static constexpr auto members = std::tuple{
        member{"base", &type::base_version},
        member{"version", &type::version},
        member{"settings", &type::settings},
        member{"removed", &type::removed_routes},
        member{"changed", &type::changed_routes},
        member{"removed_customers", &type::removed_customers},
        member{"changed_customers", &type::changed_customers},
    };
};

} // namespace hickorymount::codec
