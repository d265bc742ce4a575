#include "http/types.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace hickorymount::http {

namespace {

bool equals_ignoring_case(const std::string& left, const std::string& right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char one, unsigned char other) { return std::tolower(one) == std::tolower(other); });
}

std::string_view without_leading_spaces(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    return text;
}

} // namespace

std::string header(const std::map<std::string, std::string>& headers, const std::string& name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const auto& each) { return equals_ignoring_case(each.first, name); });
    return found == headers.end() ? std::string() : found->second;
}

std::string cookie(const request& source, const std::string& name)
{
    const std::string cookie_header = header(source.headers, "Cookie");
    std::string_view rest = cookie_header;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find(';'), rest.size());
        const std::string_view item = without_leading_spaces(rest.substr(0, end));
        if (item.size() > name.size() && item.substr(0, name.size()) == name && item[name.size()] == '=') {
            return std::string(item.substr(name.size() + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

} // namespace hickorymount::http
