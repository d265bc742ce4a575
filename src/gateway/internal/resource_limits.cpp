#include "gateway/internal/resource_limits.h"

#include <algorithm>

#include <sys/resource.h>

namespace hickorymount::gateway::detail {

namespace {

constexpr std::size_t kibibyte = std::size_t{1} << 10;
constexpr std::size_t mebibyte = std::size_t{1} << 20;
constexpr std::size_t min_buffer_bytes = 2 * mebibyte;

port_limits make_limits(const settings::client_limits& set, std::size_t default_connections,
                        std::size_t default_bytes)
{
    port_limits limits;
    limits.max_connections = set.max_connections.value_or(std::max<std::size_t>(default_connections, 1));
    limits.budget.total_bytes = set.buffer_kb ? *set.buffer_kb * kibibyte : default_bytes;
    limits.budget.wait_timeout = set.buffer_wait_timeout;
    limits.opening_timeout = set.opening_timeout;
    limits.message_timeout = set.message_timeout;
    return limits;
}

} // namespace

std::size_t usable_descriptors(const settings::host_resources& resources)
{
    rlimit allowed{};
    if (::getrlimit(RLIMIT_NOFILE, &allowed) != 0 || allowed.rlim_cur == RLIM_INFINITY) {
        return resources.max_descriptors;
    }
    return std::min<std::size_t>(resources.max_descriptors, allowed.rlim_cur);
}

session_limits derive_session_limits(const settings::entry_settings& settings, std::size_t descriptors)
{
    const std::size_t memory = settings.resources.memory_mb * mebibyte;
    return {make_limits(settings.callers, descriptors / 2, std::max(memory / 4, min_buffer_bytes)),
            make_limits(settings.relays, descriptors * 5 / 16, std::max(memory / 8, min_buffer_bytes))};
}

std::size_t max_link_connections(std::size_t descriptors)
{
    return std::max<std::size_t>(descriptors / 2, 1);
}

} // namespace hickorymount::gateway::detail
