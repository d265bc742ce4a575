#pragma once

#include "directory/types.h"
#include "http/types.h"
#include "protocol/types.h"
#include "supervision/types.h"

#include <optional>

namespace hickorymount::gateway {

/// Operations of a control host for operators and backend servers, independent of the interface they use.
class control_operations
{
public:
    control_operations() = default;
    control_operations(const control_operations&) = delete;
    control_operations& operator=(const control_operations&) = delete;
    virtual ~control_operations() = default;

    /// Replaces the configuration. Blocks until the control thread responds; empty after a timeout.
    virtual std::optional<supervision::operator_response>
    replace_configuration(directory::replace_configuration change) = 0;
    /// The configuration in force. Blocks until the control thread responds; empty after a timeout.
    virtual std::optional<supervision::operator_response> read_configuration() = 0;

    /// The leader; empty if it is unknown or this host.
    [[nodiscard]] virtual std::optional<host_name> other_leader() const = 0;

    /// Accepts a backend server's report. Returns false if no leader is known.
    virtual bool submit_report(protocol::server_report report) = 0;

    /// The port of the operator interface; the same on all control hosts.
    [[nodiscard]] virtual std::uint16_t operator_port() const = 0;
};

/// HTTP interface of another platform, served by a control host in addition to its own.
class control_http_extension
{
public:
    control_http_extension() = default;
    control_http_extension(const control_http_extension&) = delete;
    control_http_extension& operator=(const control_http_extension&) = delete;
    virtual ~control_http_extension() = default;

    /// Handles a request; empty if the request does not belong to this interface.
    virtual std::optional<http::response> handle(const http::request& request,
                                                 control_operations& control) = 0;
};

/// Result of a promotion that the platform was asked for.
struct promotion_result
{
    supervision::promotion_outcome outcome = supervision::promotion_outcome::unknown;
    /// Why the outcome is unclear; written to the log only.
    std::string reason;

    friend bool operator==(const promotion_result&, const promotion_result&) = default;
};

/// Sends promotion requests to the platform.
class promotion_client
{
public:
    promotion_client() = default;
    promotion_client(const promotion_client&) = delete;
    promotion_client& operator=(const promotion_client&) = delete;
    virtual ~promotion_client() = default;

    /// Requests the promotion and waits for the response; blocks until the call times out.
    virtual promotion_result request_promotion(const supervision::request_promotion& order) = 0;
};

} // namespace hickorymount::gateway
