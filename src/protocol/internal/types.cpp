#include "protocol/types.h"

#include "codec/json_codec.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::protocol {

std::string to_string(const endpoint& value)
{
    return fmt::format("{}:{}", value.address, value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    endpoint parsed{std::string(text.substr(0, colon)), 0};
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (status != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return parsed;
}

namespace {

/// False for a text that would end or split a line of the session protocol or of the log.
bool is_plain_text(const std::string& text)
{
    constexpr unsigned char delete_character = 0x7f;
    return codec::is_utf8(text) && std::none_of(text.begin(), text.end(), [](char each) {
               const auto byte = static_cast<unsigned char>(each);
               return byte <= ' ' || byte == delete_character;
           });
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_report_name_bytes && is_plain_text(text);
}

} // namespace

std::string report_error(const server_report& report)
{
    if (!is_name(report.name.value)) {
        return fmt::format("name: expected 1 to {} bytes without blanks", max_report_name_bytes);
    }
    if (report.has_left) {
        return {};
    }
    if (!is_name(report.group.value)) {
        return fmt::format("group: expected 1 to {} bytes without blanks", max_report_name_bytes);
    }
    if (report.zone.value.size() > max_report_name_bytes || !is_plain_text(report.zone.value)) {
        return fmt::format("zone: expected at most {} bytes without blanks", max_report_name_bytes);
    }
    if (report.address.port == 0 || !is_name(report.address.address)) {
        return "address: expected an address and a port from 1 to 65535";
    }
    if (report.started_at < unix_milliseconds{0} || report.started_at > max_started_at) {
        return fmt::format("started_at: expected 0 to {}", max_started_at.count());
    }
    if (report.sequence > max_report_sequence) {
        return fmt::format("sequence: expected at most {}", max_report_sequence);
    }
    return {};
}

std::uint64_t session_server_hash(const server_report& report)
{
    if (report.has_left || report.interface != server_interface::sessions) {
        return 0;
    }
    const std::string identifying_fields = fmt::format(
        "{} {} {} {} {} {}", report.name.value, to_string(report.address), report.started_at.count(),
        report.group.value, static_cast<int>(report.role), report.is_leaving);
    return XXH3_64bits(identifying_fields.data(), identifying_fields.size());
}

bool is_newer(const server_report& report, const server_report& known)
{
    return std::tuple(report.started_at, report.sequence) > std::tuple(known.started_at, known.sequence);
}

} // namespace hickorymount::protocol
