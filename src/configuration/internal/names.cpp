#include "configuration/names.h"

#include "base/names.h"

#include <fmt/format.h>

namespace hickorymount::configuration {

namespace {

/// Collects the first error.
class name_checker
{
public:
    void require_name(const std::string& place, const std::string& text)
    {
        if (m_error.empty() && !is_name(text)) {
            m_error = fmt::format("{}: expected {}, not '{}'", place, name_rule, escaped(text));
        }
    }

    void require_line_text(const std::string& place, const std::string& text)
    {
        if (m_error.empty() && !is_line_text(text)) {
            m_error = fmt::format("{}: expected {}, not '{}'", place, line_text_rule, escaped(text));
        }
    }

    [[nodiscard]] const std::string& error() const { return m_error; }

private:
    std::string m_error;
};

} // namespace

std::string first_name_error(const configuration& candidate)
{
    name_checker checker;
    checker.require_line_text("deployment", candidate.deployment);
    checker.require_line_text("tenant", candidate.tenant.value);
    for (const availability_zone& zone : candidate.zones) {
        checker.require_name("zones", zone.value);
    }
    for (const auto& [name, settings] : candidate.groups) {
        checker.require_name("groups", name.value);
    }
    for (const auto& [name, settings] : candidate.classes) {
        checker.require_name("classes", name.value);
    }
    for (std::size_t index = 0; index < candidate.database_routes.size(); ++index) {
        const database_route& route = candidate.database_routes[index];
        checker.require_line_text(fmt::format("database_routes[{}].name", index), route.name);
        checker.require_name(fmt::format("database_routes[{}].database", index), route.database);
        checker.require_name(fmt::format("database_routes[{}].group", index), route.group.value);
    }
    for (const auto& [name, settings] : candidate.customers) {
        checker.require_name("customers", name.value);
    }
    return checker.error();
}

} // namespace hickorymount::configuration
