#pragma once

#include "base/error.h"
#include "database/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hickorymount::database {

struct service_options
{
    database_settings settings;
    /// Addresses of entry hosts, to which the server announces itself periodically.
    std::vector<endpoint> announcement_targets;

    friend bool operator==(const service_options&, const service_options&) = default;
};

/// The emulator as a network service, with an HTTP and JSON interface for entry hosts, replicas and testers.
class database_service
{
public:
    database_service() = default;
    database_service(const database_service&) = delete;
    database_service& operator=(const database_service&) = delete;
    virtual ~database_service() = default;

    /// The port that the HTTP server listens on; the assigned one if the settings name port 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Stops the background threads, the HTTP server and the control thread, and waits for them.
    virtual void stop() = 0;
};

/// Starts the emulator. Errors: the HTTP server can't listen on the address of the settings.
result<std::unique_ptr<database_service>> start_database(const service_options& options);

} // namespace hickorymount::database
