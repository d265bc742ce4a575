#pragma once

#include "base/error.h"
#include "gateway/control_http_extension.h"
#include "settings/types.h"

#include <cstdint>
#include <memory>

namespace hickorymount::gateway {

/// A control host's process: its replica of the log, the links to other hosts and the HTTP operator
/// interface.
class control_service
{
public:
    control_service() = default;
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;
    virtual ~control_service() = default;

    /// The port of the operator interface.
    [[nodiscard]] virtual std::uint16_t operator_port() const = 0;
    virtual void stop() = 0;

    /// Applies the control hosts of changed settings; other changes need a restart. Thread-safe.
    virtual void reload(const settings::control_settings& changed) = 0;
};

/// Starts a control host. While its disk refuses writes, the host neither votes nor acknowledges log entries;
/// it repeats the writes and takes part again once they succeed. `extension` and `promotions` may be null.
/// Errors: the data folder or an address cannot be used.
result<std::unique_ptr<control_service>>
start_control_service(const settings::control_settings& own,
                      std::unique_ptr<control_http_extension> extension = nullptr,
                      std::unique_ptr<promotion_client> promotions = nullptr);

} // namespace hickorymount::gateway
