#include "logging/fields.h"

#include "base/names.h"

namespace hickorymount::logging {

std::string quoted(std::string_view text)
{
    return "\"" + escaped(text) + "\"";
}

std::string value(std::string_view text)
{
    const bool is_plain = is_line_text(text) && text.find_first_of(" =\"\\") == std::string_view::npos;
    return is_plain ? std::string(text) : quoted(text);
}

} // namespace hickorymount::logging
