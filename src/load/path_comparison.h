#pragma once

#include "base/error.h"
#include "load/types.h"

#include <string>

namespace hickorymount::load {

struct path_options
{
    group_name group;
    std::string write_class;
    int rounds = 0;

    friend bool operator==(const path_options&, const path_options&) = default;
};

struct path_comparison
{
    distribution direct_ms;
    distribution through_entry_ms;

    friend bool operator==(const path_comparison&, const path_comparison&) = default;
};

/// Times the same write on kept-alive connections, in turn: to the primary directly, and through an entry
/// host. Errors: a statement was not answered.
result<path_comparison> compare_paths(const protocol::endpoint& entry, const protocol::endpoint& primary,
                                      const path_options& options);

} // namespace hickorymount::load
