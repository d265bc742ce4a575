#include "sessions/internal/response_description.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// Chains the digest of a text to that of what came before it.
std::uint64_t extend_digest(std::uint64_t digest, const std::string& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), digest);
}

} // namespace

std::uint64_t digest_of(const statement_response& response)
{
    const group_position position = response.position.value_or(group_position{});
    std::uint64_t digest =
        extend_digest(0, fmt::format("{} {} {}.{}", static_cast<int>(response.code),
                                     static_cast<int>(response.state), position.term, position.position));
    digest = extend_digest(digest, response.detail);
    for (const std::string& row : response.rows) {
        digest = extend_digest(digest, row);
    }
    return digest == 0 ? 1 : digest;
}

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
