#include "protocol/types.h"

#include "base/names.h"

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

bool is_short_name(const std::string& text)
{
    return text.size() <= max_report_name_bytes && is_name(text);
}

std::string name_error(const char* field)
{
    return fmt::format("{}: expected {} of 1 to {} bytes", field, name_rule, max_report_name_bytes);
}

} // namespace

std::string report_error(const server_report& report)
{
    if (!is_short_name(report.name.value)) {
        return name_error("name");
    }
    if (report.has_left) {
        return {};
    }
    if (!is_short_name(report.group.value)) {
        return name_error("group");
    }
    if (!report.zone.empty() && !is_short_name(report.zone.value)) {
        return name_error("zone");
    }
    if (report.address.port == 0 || !is_short_name(report.address.address)) {
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
