#include "http/internal/message_head.h"

#include "base/names.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::http::detail {

namespace {

/// Digits of a number that any 63-bit integer can hold.
constexpr std::size_t max_length_digits = 18;

bool is_digit(char each)
{
    return each >= '0' && each <= '9';
}

/// The characters of a `token` in RFC 9110.
bool is_token(std::string_view text)
{
    constexpr std::string_view signs = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char each) {
        return is_digit(each) || (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
               signs.find(each) != std::string_view::npos;
    });
}

bool is_control(char each)
{
    const auto byte = static_cast<unsigned char>(each);
    return byte < ' ' || byte == 0x7f;
}

bool is_request_target(std::string_view path)
{
    return !path.empty() &&
           std::none_of(path.begin(), path.end(), [](char each) { return each == ' ' || is_control(each); });
}

} // namespace

bool is_header(std::string_view name, std::string_view value)
{
    return is_token(name) && std::none_of(value.begin(), value.end(),
                                          [](char each) { return each != '\t' && is_control(each); });
}

bool are_headers(const std::map<std::string, std::string>& headers)
{
    return std::all_of(headers.begin(), headers.end(),
                       [](const auto& each) { return is_header(each.first, each.second); });
}

std::string request_head_error(std::string_view method, std::string_view path,
                               const std::map<std::string, std::string>& headers)
{
    if (!is_token(method)) {
        return fmt::format("the method '{}' is no single word", escaped(method));
    }
    if (!is_request_target(path)) {
        return fmt::format("the path '{}' is empty or has blanks or control characters", escaped(path));
    }
    for (const auto& [name, value] : headers) {
        if (!is_header(name, value)) {
            return fmt::format("the header '{}' has control characters", escaped(name));
        }
    }
    return {};
}

bool is_content_length(std::string_view value)
{
    return !value.empty() && value.size() <= max_length_digits &&
           std::all_of(value.begin(), value.end(), is_digit);
}

} // namespace hickorymount::http::detail
