#include "configuration/difference.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::configuration {

namespace {

using route_index = std::map<route_key, const database_route*>;

route_key key_of(const database_route& route)
{
    return {route.database, route.path_prefix};
}

route_index index_routes(const configuration& content)
{
    route_index routes;
    for (const database_route& route : content.database_routes) {
        routes.emplace(key_of(route), &route);
    }
    return routes;
}

bool has_same_settings(const database_route& left, const database_route& right)
{
    database_route renamed = left;
    renamed.name = right.name;
    return renamed == right;
}

configuration without_routes_and_customers(const configuration& content)
{
    configuration settings;
    settings.deployment = content.deployment;
    settings.tenant = content.tenant;
    settings.zones = content.zones;
    settings.entry_host_count = content.entry_host_count;
    settings.groups = content.groups;
    settings.classes = content.classes;
    settings.identifies_customers = content.identifies_customers;
    settings.transaction_idle_timeout = content.transaction_idle_timeout;
    return settings;
}

/// Records the customers that are new, changed or removed in `target`.
void add_customer_changes(const configuration& base, const configuration& target,
                          configuration_difference& difference)
{
    for (const auto& [name, settings] : base.customers) {
        if (!target.customers.contains(name)) {
            difference.removed_customers.push_back(name);
        }
    }
    for (const auto& [name, settings] : target.customers) {
        const auto known = base.customers.find(name);
        if (known == base.customers.end() || known->second != settings) {
            difference.changed_customers.emplace(name, settings);
        }
    }
}

std::map<customer_name, customer_settings>
apply_customer_changes(std::map<customer_name, customer_settings> customers,
                       const configuration_difference& difference)
{
    for (const customer_name& name : difference.removed_customers) {
        customers.erase(name);
    }
    for (const auto& [name, settings] : difference.changed_customers) {
        customers.insert_or_assign(name, settings);
    }
    return customers;
}

/// Adds routes to a table.
class route_table_builder
{
public:
    void add(const database_route& route)
    {
        database_route settings = route;
        settings.name.clear();
        settings.database.clear();
        m_table.databases.push_back(route.database);
        m_table.settings_indexes.push_back(index_of(std::move(settings)));
    }

    route_table take() { return std::move(m_table); }

private:
    std::uint32_t index_of(database_route settings)
    {
        const auto key =
            std::tuple(settings.path_prefix, settings.group, settings.consistency, settings.max_staleness,
                       settings.statement_timeout, settings.target_latency, settings.priority,
                       settings.max_attempts, settings.is_public);
        const auto [found, is_new] =
            m_indexes.emplace(key, static_cast<std::uint32_t>(m_table.settings.size()));
        if (is_new) {
            m_table.settings.push_back(std::move(settings));
        }
        return found->second;
    }

    using settings_key = std::tuple<std::string, group_name, read_consistency, milliseconds, milliseconds,
                                    milliseconds, std::uint32_t, std::uint32_t, bool>;

    route_table m_table;
    std::map<settings_key, std::uint32_t> m_indexes;
};

result<std::vector<database_route>> routes_of(const route_table& table)
{
    const std::size_t count = table.databases.size();
    if (table.settings_indexes.size() != count) {
        return fail(
            "apply_configuration", "",
            fmt::format("expected settings of {} routes, found {}", count, table.settings_indexes.size()));
    }
    std::vector<database_route> routes;
    routes.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        if (table.settings_indexes[index] >= table.settings.size()) {
            return fail("apply_configuration", "",
                        fmt::format("route of '{}' has settings {}, expected less than {}",
                                    table.databases[index], table.settings_indexes[index],
                                    table.settings.size()));
        }
        database_route route = table.settings[table.settings_indexes[index]];
        route.database = table.databases[index];
        routes.push_back(std::move(route));
    }
    return routes;
}

} // namespace

versioned_configuration without_operator_texts(const versioned_configuration& source)
{
    versioned_configuration copy{source.version, without_routes_and_customers(source.content)};
    copy.content.customers = source.content.customers;
    copy.content.database_routes = source.content.database_routes;
    for (database_route& route : copy.content.database_routes) {
        route.name.clear();
    }
    return copy;
}

configuration_difference make_difference(const versioned_configuration& base,
                                         const versioned_configuration& target)
{
    configuration_difference difference;
    difference.base_version = base.version;
    difference.version = target.version;
    const configuration settings = without_routes_and_customers(target.content);
    if (settings != without_routes_and_customers(base.content)) {
        difference.settings = settings;
    }
    const route_index before = index_routes(base.content);
    const route_index after = index_routes(target.content);
    for (const auto& [key, route] : before) {
        if (!after.contains(key)) {
            difference.removed_routes.push_back(key);
        }
    }
    route_table_builder changed;
    for (const database_route& route : target.content.database_routes) {
        const auto known = before.find(key_of(route));
        if (known == before.end() || !has_same_settings(*known->second, route)) {
            changed.add(route);
        }
    }
    difference.changed_routes = changed.take();
    add_customer_changes(base.content, target.content, difference);
    return difference;
}

result<versioned_configuration> apply_difference(const versioned_configuration& current,
                                                 const configuration_difference& difference)
{
    const bool is_complete = difference.base_version == 0;
    if (!is_complete && difference.base_version != current.version) {
        return fail("apply_configuration", "",
                    fmt::format("version {} changes version {}, expected a change of {}", difference.version,
                                difference.base_version, current.version));
    }
    BOOST_LEAF_AUTO(changed_routes, routes_of(difference.changed_routes));
    versioned_configuration next = is_complete ? versioned_configuration{} : current;
    next.version = difference.version;
    std::vector<database_route> routes = std::move(next.content.database_routes);
    auto customers = apply_customer_changes(std::move(next.content.customers), difference);
    if (difference.settings) {
        next.content = *difference.settings;
    }
    std::set<route_key> replaced(difference.removed_routes.begin(), difference.removed_routes.end());
    for (const database_route& route : changed_routes) {
        replaced.insert(key_of(route));
    }
    std::erase_if(routes, [&](const database_route& route) { return replaced.contains(key_of(route)); });
    std::move(changed_routes.begin(), changed_routes.end(), std::back_inserter(routes));
    next.content.database_routes = std::move(routes);
    next.content.customers = std::move(customers);
    return next;
}

} // namespace hickorymount::configuration
