#pragma once

#include "codec/description.h"
#include "limits/types.h"

namespace hickorymount::codec {

template <>
struct description<limits::limit_bounds>
{
    using type = limits::limit_bounds;
    static constexpr std::string_view name = "limit_bounds";
    static constexpr auto members = std::tuple{
        member{"window", &type::window}, member{"overage", &type::overage}, member{"slack", &type::slack}};
};

/// The names are short because a lease request contains one of these for each customer at the host.
template <>
struct description<limits::customer_demand>
{
    using type = limits::customer_demand;
    static constexpr std::string_view name = "customer_demand";
    static constexpr auto members =
        std::tuple{member{"w", &type::wanted}, member{"u", &type::used}, member{"h", &type::held}};
};

} // namespace hickorymount::codec
