#pragma once

#include "base/identifier.h"
#include "codec/description.h"

namespace hickorymount::gateway {

/// An operator's request for a planned change of primary.
struct switch_order
{
    group_name group;
    backend_server_name target;

    friend bool operator==(const switch_order&, const switch_order&) = default;
};

} // namespace hickorymount::gateway

namespace hickorymount::codec {

template <>
struct description<gateway::switch_order>
{
    using type = gateway::switch_order;
    static constexpr std::string_view name = "switch_order";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"target", &type::target}};
};

} // namespace hickorymount::codec
