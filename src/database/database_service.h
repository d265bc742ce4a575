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
    /// Entry hosts' addresses, told over and over of this backend server.
    std::vector<endpoint> announce_to;

    friend bool operator==(const service_options&, const service_options&) = default;
};

/// The emulator as a process: HTTP and JSON towards entry hosts, replicas and testers.
class database_service
{
public:
    database_service() = default;
    database_service(const database_service&) = delete;
    database_service& operator=(const database_service&) = delete;
    virtual ~database_service() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    virtual void stop() = 0;
};

result<std::unique_ptr<database_service>> start_database(const service_options& options);

} // namespace hickorymount::database
