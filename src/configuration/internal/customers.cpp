#include "configuration/types.h"

#include <cmath>
#include <map>

#include <fmt/format.h>

namespace hickorymount::configuration {

namespace {

bool is_valid_quantity(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

std::string first_customer_error(const configuration& candidate)
{
    std::map<key_digest, customer_name> owners;
    for (const auto& [name, settings] : candidate.customers) {
        for (const key_digest& key : settings.keys) {
            const auto [owner, is_new] = owners.emplace(key, name);
            if (!is_new && owner->second != name) {
                return fmt::format("customers '{}' and '{}' have a key in common", owner->second.value,
                                   name.value);
            }
        }
        if (settings.limit && !is_valid_quantity(settings.limit->operations_per_second)) {
            return fmt::format("customer '{}' has a negative limit of operations", name.value);
        }
        if (settings.limit && !is_valid_quantity(settings.limit->burst)) {
            return fmt::format("customer '{}' has a negative burst", name.value);
        }
    }
    return {};
}

} // namespace hickorymount::configuration
