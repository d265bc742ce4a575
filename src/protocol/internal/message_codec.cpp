#include "protocol/message_codec.h"

#include "codec/json_codec.h"
#include "protocol/descriptions.h"

namespace hickorymount::protocol {

std::string encode(const message& value)
{
    return codec::to_cbor(codec::encode(value));
}

std::string_view kind_of(const message& value)
{
    return std::visit(
        [](const auto& content) { return codec::description<std::decay_t<decltype(content)>>::name; }, value);
}

namespace {

/// Limits the log record of a list with many entries that can't be used.
constexpr std::size_t max_recorded_errors = 4;

/// Removes the entries that can't be read or used, so that the others still count. Returns their errors.
std::vector<std::string> remove_unusable_reports(codec::json& entries, const std::string& peer)
{
    std::vector<std::string> errors;
    const auto check = [&](const codec::json& entry) -> std::string {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_AUTO(report, codec::decode<server_report>(entry, peer));
                const std::string error = report_error(report);
                return error.empty() ? error : report.name.value + ": " + error;
            },
            [](const failure& error) { return error.reason; });
    };
    codec::json usable = codec::json::array();
    for (codec::json& entry : entries) {
        std::string error = check(entry);
        if (error.empty()) {
            usable.push_back(std::move(entry));
        } else if (errors.size() < max_recorded_errors) {
            errors.push_back(std::move(error));
        }
    }
    entries = std::move(usable);
    return errors;
}

} // namespace

result<message> decode(std::string_view bytes, const std::string& peer)
{
    BOOST_LEAF_AUTO(document, codec::parse_cbor(bytes, codec::peer_input_limits, peer));
    const std::string list_kind(codec::description<server_reports>::name);
    std::vector<std::string> errors;
    if (document.is_object() && document.contains(list_kind) && document[list_kind].contains("reports") &&
        document[list_kind]["reports"].is_array()) {
        errors = remove_unusable_reports(document[list_kind]["reports"], peer);
    }
    BOOST_LEAF_AUTO(content, codec::decode<message>(document, peer));
    if (auto* list = std::get_if<server_reports>(&content); list != nullptr && !errors.empty()) {
        list->is_complete = false;
        list->skipped = std::move(errors);
    }
    return content;
}

} // namespace hickorymount::protocol
