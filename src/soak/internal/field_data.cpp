#include "soak/field_data.h"

#include <array>

#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

using namespace std::string_view_literals;

constexpr std::array pieces{
    "\n"sv,
    "\r"sv,
    "\0"sv,
    " "sv,
    "\xff"sv,
    "\n\r"sv,
    "a"sv,
    "vz"sv,
    "READ"sv,
    "-"sv,
    "DONE 1.2.3"sv,
    "READY I 1.1"sv,
    "ERR BUSY x"sv,
    "\nQUERY 00 WRITE 1 y"sv,
    "\nQUERY - ROLLBACK\n"sv,
    "\nDONE 1.2.3\nREADY I 1.1"sv,
    "\nROW x\nDONE -\nREADY I -\n"sv,
    "\nERR BUSY x\nREADY I 1.1\n"sv,
};
constexpr std::size_t max_printed_bytes = 200;
constexpr std::size_t max_pieces = 4;
/// One in this many values is the plain one.
constexpr std::uint32_t plain_interval = 3;

} // namespace

std::string field_source::next(const std::string& plain)
{
    if (m_alphabet == field_alphabet::plain || m_random() % plain_interval == 0) {
        return plain;
    }
    std::string value;
    const std::size_t count = 1 + m_random() % max_pieces;
    for (std::size_t index = 0; index < count; ++index) {
        value += pieces[m_random() % pieces.size()];
    }
    for (std::size_t end = value.find("\r\n"); end != std::string::npos; end = value.find("\r\n")) {
        value.insert(end + 1, 1, ' ');
    }
    return value;
}

std::string to_printable(std::string_view bytes)
{
    std::string printable;
    for (const char each : bytes.substr(0, max_printed_bytes)) {
        const bool is_printable = each >= ' ' && each <= '~' && each != '\\';
        printable +=
            is_printable ? std::string(1, each) : fmt::format("\\x{:02x}", static_cast<unsigned char>(each));
    }
    return printable;
}

} // namespace hickorymount::soak
