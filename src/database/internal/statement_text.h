#pragma once

#include "database/types.h"

#include <string>
#include <vector>

namespace hickorymount::database::detail {

/// What one statement came to: its JSON body, and the changes it makes.
struct statement_result
{
    std::string body;
    std::vector<change> changes;

    friend bool operator==(const statement_result&, const statement_result&) = default;
};

/// Runs `get KEY`, `put KEY VALUE`, `add KEY NUMBER` or `append KEY VALUE`. `pending` holds the changes
/// of the open transaction, newest last. Anything else gives a body with an error and changes nothing.
statement_result run_text(const std::string& text, const shared_map<std::string, std::string>& data,
                          const std::vector<change>& pending);

} // namespace hickorymount::database::detail
