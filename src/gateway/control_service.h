#pragma once

#include "base/error.h"
#include "gateway/control_pages.h"
#include "settings/types.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace hickorymount::gateway {

/// A control host's process: the replicated log in its data folder, the links, and HTTP for operators.
class control_service
{
public:
    control_service() = default;
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;
    virtual ~control_service() = default;

    [[nodiscard]] virtual std::uint16_t operators_port() const = 0;
    virtual void stop() = 0;

    /// Takes the control hosts of changed settings; the rest holds from the next start. Safe from any thread.
    virtual void reload(const settings::control_settings& changed) = 0;
};

/// `on_disk_failure` is called once when a write or a sync fails; the process has to stop then.
/// `pages` and `promotions` may be null.
result<std::unique_ptr<control_service>>
start_control(const settings::control_settings& own, std::function<void()> on_disk_failure,
              std::unique_ptr<control_pages> pages = nullptr,
              std::unique_ptr<promotion_caller> promotions = nullptr);

} // namespace hickorymount::gateway
