#pragma once

#include "base/error.h"
#include "sessions/wire.h"
#include "settings/types.h"

#include <cstdint>
#include <memory>

namespace hickorymount::gateway {

/// An entry host's process: HTTP towards callers, backend servers and the balancer, and the link to control.
class entry_service
{
public:
    entry_service() = default;
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;
    virtual ~entry_service() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// A planned stop: tells the balancer, finishes what is in flight, gives the lease back. Blocks.
    virtual void drain() = 0;
    virtual void stop() = 0;

    /// Takes the control hosts of changed settings; the rest holds from the next start. Safe from any thread.
    virtual void reload(const settings::entry_settings& changed) = 0;
};

result<std::unique_ptr<entry_service>> start_entry(const settings::entry_settings& own,
                                                   std::unique_ptr<sessions::wire> wire = nullptr);

} // namespace hickorymount::gateway
