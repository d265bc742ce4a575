#pragma once

#include "codec/description.h"
#include "consensus/descriptions.h"
#include "consensus/types.h"

#include <vector>

namespace hickorymount::storage::detail {

/// One record of the log file: a `persist_log` without its sync number, which has no meaning after a restart.
struct log_record
{
    consensus::hard_state persistent_state;
    consensus::log_index truncate_from = 0;
    std::vector<consensus::log_entry> entries;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace hickorymount::storage::detail

namespace hickorymount::codec {

template <>
struct description<storage::detail::log_record>
{
    using type = storage::detail::log_record;
    static constexpr std::string_view name = "log_write";
    static constexpr auto members =
        std::tuple{member{"hard", &type::persistent_state}, member{"truncate_from", &type::truncate_from},
                   member{"entries", &type::entries}};
};

} // namespace hickorymount::codec
