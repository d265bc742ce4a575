#pragma once

#include "database/types.h"

#include <string>
#include <vector>

namespace hickorymount::database::detail {

/// The result of a statement: its JSON body and the changes that it makes.
struct statement_result
{
    std::string body;
    std::vector<change> changes;

    friend bool operator==(const statement_result&, const statement_result&) = default;
};

/// Executes `get KEY`, `put KEY VALUE`, `add KEY NUMBER` or `append KEY VALUE`. `pending` holds the
/// changes of the open transaction, newest last. Any other text gives a body with an error and no changes.
statement_result execute_statement(const std::string& text, const shared_map<std::string, std::string>& data,
                                   const std::vector<change>& pending);

} // namespace hickorymount::database::detail
