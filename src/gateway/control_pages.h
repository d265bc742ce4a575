#pragma once

#include "directory/types.h"
#include "http/types.h"
#include "protocol/types.h"
#include "supervision/types.h"

#include <optional>

namespace hickorymount::gateway {

/// What a control host does for operators and backend servers, apart from how they ask for it.
class control_desk
{
public:
    control_desk() = default;
    control_desk(const control_desk&) = delete;
    control_desk& operator=(const control_desk&) = delete;
    virtual ~control_desk() = default;

    /// These wait for the control thread's answer; nothing when it did not come in time.
    virtual std::optional<supervision::operator_answer> replace(directory::replace_configuration change) = 0;
    virtual std::optional<supervision::operator_answer> show_configuration() = 0;

    /// The leader, when it is known and another host.
    [[nodiscard]] virtual std::optional<host_name> other_leader() const = 0;

    /// Takes a backend server's report. False when no leader is known that could use it.
    virtual bool announce(protocol::server_report report) = 0;

    /// The port on which control hosts serve operators; the same on all of them.
    [[nodiscard]] virtual std::uint16_t operators_port() const = 0;
};

/// Pages of a control host in the words of another interface than the product's own.
class control_pages
{
public:
    control_pages() = default;
    control_pages(const control_pages&) = delete;
    control_pages& operator=(const control_pages&) = delete;
    virtual ~control_pages() = default;

    /// Nothing when the request is none of these pages'.
    virtual std::optional<http::response> serve(const http::request& asked, control_desk& desk) = 0;
};

/// What came of an order for a promotion.
struct promotion_answer
{
    supervision::promotion_outcome outcome = supervision::promotion_outcome::unclear;
    /// Why it is unclear; for the log.
    std::string reason;

    friend bool operator==(const promotion_answer&, const promotion_answer&) = default;
};

/// Carries orders for promotions to the platform.
class promotion_caller
{
public:
    promotion_caller() = default;
    promotion_caller(const promotion_caller&) = delete;
    promotion_caller& operator=(const promotion_caller&) = delete;
    virtual ~promotion_caller() = default;

    /// Blocks for as long as one call may take.
    virtual promotion_answer promote(const supervision::order_promotion& order) = 0;
};

} // namespace hickorymount::gateway
