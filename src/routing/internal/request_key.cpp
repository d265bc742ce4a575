#include "routing/internal/request_key.h"

#include <charconv>

namespace hickorymount::routing::detail {

namespace {

constexpr unix_milliseconds milliseconds_in_second{1000};

} // namespace

std::optional<unix_milliseconds> key_time(const request_key& key)
{
    std::int64_t seconds = 0;
    const char* const begin = key.value.data();
    const char* const end = begin + key.value.size();
    const auto [rest, status] = std::from_chars(begin, end, seconds);
    const bool is_formed = status == std::errc{} && rest != end && *rest == '-' && rest + 1 != end;
    if (!is_formed || seconds < 0) {
        return std::nullopt;
    }
    return milliseconds_in_second * seconds;
}

std::uint64_t statement_hash(const caller_request& input)
{
    constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset_basis;
    for (const char each : input.request_class.value + '\n' + input.statement) {
        hash = (hash ^ static_cast<unsigned char>(each)) * prime;
    }
    return hash;
}

} // namespace hickorymount::routing::detail
