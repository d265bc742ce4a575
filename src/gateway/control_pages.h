#pragma once

#include "directory/types.h"
#include "http/types.h"
#include "protocol/types.h"
#include "supervision/types.h"

#include <optional>

namespace hickorymount::gateway {

/// Operations of a control host for operators and backend servers, independent of the interface they use.
class control_desk
{
public:
    control_desk() = default;
    control_desk(const control_desk&) = delete;
    control_desk& operator=(const control_desk&) = delete;
    virtual ~control_desk() = default;

    /// Replaces the configuration. Blocks until the control thread responds; empty after a timeout.
    virtual std::optional<supervision::operator_answer> replace(directory::replace_configuration change) = 0;
    /// The configuration in force. Blocks until the control thread responds; empty after a timeout.
    virtual std::optional<supervision::operator_answer> show_configuration() = 0;

    /// The leader; empty if it is unknown or this host.
    [[nodiscard]] virtual std::optional<host_name> other_leader() const = 0;

    /// Accepts a backend server's report. Returns false if no leader is known.
    virtual bool announce(protocol::server_report report) = 0;

    /// The port of the operator interface; the same on all control hosts.
    [[nodiscard]] virtual std::uint16_t operators_port() const = 0;
};

/// HTTP interface of another platform, served by a control host in addition to its own.
class control_pages
{
public:
    control_pages() = default;
    control_pages(const control_pages&) = delete;
    control_pages& operator=(const control_pages&) = delete;
    virtual ~control_pages() = default;

    /// Handles a request; empty if the request does not belong to this interface.
    virtual std::optional<http::response> serve(const http::request& request, control_desk& control) = 0;
};

/// Result of a promotion that the platform was asked for.
struct promotion_answer
{
    supervision::promotion_outcome outcome = supervision::promotion_outcome::unclear;
    /// Why the outcome is unclear; written to the log only.
    std::string reason;

    friend bool operator==(const promotion_answer&, const promotion_answer&) = default;
};

/// Sends promotion requests to the platform.
class promotion_caller
{
public:
    promotion_caller() = default;
    promotion_caller(const promotion_caller&) = delete;
    promotion_caller& operator=(const promotion_caller&) = delete;
    virtual ~promotion_caller() = default;

    /// Requests the promotion and waits for the response; blocks until the call times out.
    virtual promotion_answer promote(const supervision::order_promotion& order) = 0;
};

} // namespace hickorymount::gateway
