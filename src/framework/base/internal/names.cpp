#include "base/names.h"

#include <boost/nowide/utf/utf.hpp>
#include <fmt/format.h>

namespace hickorymount {

namespace {

using utf8 = boost::nowide::utf::utf_traits<char>;

bool is_control(boost::nowide::utf::code_point character)
{
    return character < 0x20 || (character >= 0x7f && character < 0xa0);
}

/// Calls `visit` with each character and its bytes. Bytes that are not UTF-8 come as `illegal`, one by one.
template <class Visit>
void for_each_character(std::string_view text, Visit visit)
{
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    while (position != end) {
        const char* const start = position;
        const auto character = utf8::decode(position, end);
        const bool is_valid = boost::nowide::utf::is_valid_codepoint(character);
        position = is_valid ? position : start + 1;
        visit(is_valid ? character : boost::nowide::utf::illegal,
              std::string_view(start, static_cast<std::size_t>(position - start)));
    }
}

std::string escape_sequence(std::string_view bytes)
{
    switch (bytes.front()) {
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    case '\t':
        return "\\t";
    default:
        break;
    }
    std::string sequence;
    for (const char each : bytes) {
        sequence += fmt::format("\\x{:02x}", static_cast<unsigned char>(each));
    }
    return sequence;
}

/// Escapes control characters, bytes that are not UTF-8, and the characters of `also_escaped`.
std::string escape(std::string_view text, std::string_view also_escaped)
{
    std::string readable;
    readable.reserve(text.size());
    for_each_character(text, [&](boost::nowide::utf::code_point character, std::string_view bytes) {
        if (character == boost::nowide::utf::illegal || is_control(character)) {
            readable += escape_sequence(bytes);
        } else {
            readable += also_escaped.find(bytes) != std::string_view::npos ? "\\" : "";
            readable += bytes;
        }
    });
    return readable;
}

} // namespace

bool is_line_text(std::string_view text)
{
    bool is_allowed = true;
    for_each_character(text, [&](boost::nowide::utf::code_point character, std::string_view /*bytes*/) {
        is_allowed = is_allowed && character != boost::nowide::utf::illegal && !is_control(character);
    });
    return is_allowed;
}

bool is_name(std::string_view text)
{
    return !text.empty() && text != no_name && text.find(' ') == std::string_view::npos && is_line_text(text);
}

std::string without_control_characters(std::string_view text)
{
    return escape(text, "");
}

std::string escaped(std::string_view text)
{
    return escape(text, "\"\\");
}

} // namespace hickorymount
