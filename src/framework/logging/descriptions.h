#pragma once

#include "codec/description.h"
#include "logging/types.h"

namespace hickorymount::codec {

template <>
struct description<logging::log_level>
{
    static constexpr auto enumerators = std::tuple{enumerator{"debug", logging::log_level::debug},
                                                   enumerator{"information", logging::log_level::information},
                                                   enumerator{"warning", logging::log_level::warning},
                                                   enumerator{"error", logging::log_level::error}};
};

template <>
struct description<logging::log_record>
{
    using type = logging::log_record;
    static constexpr std::string_view name = "log_record";
    static constexpr auto members = std::tuple{member{"level", &type::level}, member{"step", &type::step},
                                               member{"peer", &type::peer}, member{"text", &type::text}};
};

} // namespace hickorymount::codec
