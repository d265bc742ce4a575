#include "configuration/types.h"

#include <set>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::configuration {

std::string first_route_error(const configuration& candidate)
{
    std::set<std::pair<std::string, std::string>> routed_databases;
    for (const database_route& route : candidate.database_routes) {
        if (!candidate.groups.contains(route.group)) {
            return fmt::format("route '{}' names the unknown service '{}'", route.name, route.group.value);
        }
        if (route.statement_timeout <= milliseconds{0}) {
            return fmt::format("route '{}' has no time limit", route.name);
        }
        if (!routed_databases.insert({route.database, route.path_prefix}).second) {
            return fmt::format("route '{}' names the database '{}', which has a route already", route.name,
                               route.database);
        }
    }
    return {};
}

} // namespace hickorymount::configuration
