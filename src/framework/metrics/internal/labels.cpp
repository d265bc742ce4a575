#include "metrics/labels.h"

#include "base/names.h"

#include <fmt/format.h>

namespace hickorymount::metrics {

namespace {

/// The format has the escape sequences of quotes, backslashes and line feeds only. In others, the backslash
/// stands for itself.
std::string escaped_value(std::string_view value)
{
    const std::string text = escaped(value);
    std::string written;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '\\') {
            written += text[index];
            continue;
        }
        const char next = text[++index];
        written += next == '"' || next == '\\' || next == 'n' ? "\\" : "\\\\";
        written += next;
    }
    return written;
}

} // namespace

std::string labels(std::initializer_list<std::pair<std::string_view, std::string_view>> values)
{
    std::string text;
    for (const auto& [name, value] : values) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped_value(value));
    }
    return text;
}

} // namespace hickorymount::metrics
