#pragma once

#include "base/identifier.h"
#include "codec/description.h"

namespace hickorymount::gateway {

/// An operator's request for a planned change of primary.
struct primary_switch_request
{
    group_name group;
    backend_server_name target;

    friend bool operator==(const primary_switch_request&, const primary_switch_request&) = default;
};

} // namespace hickorymount::gateway

namespace hickorymount::codec {

template <>
struct description<gateway::primary_switch_request>
{
    using type = gateway::primary_switch_request;
    static constexpr std::string_view name = "switch_order";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"target", &type::target}};
};

} // namespace hickorymount::codec
