#include "sessions/internal/response_description.h"

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

std::string describe(const statement_response& response)
{
    std::size_t bytes = response.detail.size();
    for (const std::string& row : response.rows) {
        bytes += row.size();
    }
    return fmt::format("code={} rows={} bytes={}", static_cast<int>(response.code), response.rows.size(),
                       bytes);
}

} // namespace hickorymount::sessions::detail
