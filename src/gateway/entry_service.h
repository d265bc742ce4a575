#pragma once

#include "base/error.h"
#include "sessions/session_codec.h"
#include "settings/types.h"

#include <cstdint>
#include <memory>

namespace hickorymount::gateway {

/// An entry host's process: the interfaces for callers, backend servers and the load balancer, and the links
/// to control hosts.
class entry_service
{
public:
    entry_service() = default;
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;
    virtual ~entry_service() = default;

    /// The port of the HTTP interface.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// Graceful shutdown: fails the load balancer's health check, finishes requests in flight and returns the
    /// lease. Blocks.
    virtual void drain() = 0;
    virtual void stop() = 0;

    /// Applies the control hosts of changed settings; other changes need a restart. Thread-safe.
    virtual void reload(const settings::entry_settings& changed) = 0;
};

/// Starts an entry host. Without `codec`, it serves no sessions. Errors: an address cannot be used.
result<std::unique_ptr<entry_service>>
start_entry_service(const settings::entry_settings& own,
                    std::unique_ptr<sessions::session_codec> codec = nullptr);

} // namespace hickorymount::gateway
