#include "storage/internal/record.h"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::storage::detail {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t length_check_bytes = 4;
constexpr std::size_t content_check_bytes = 8;
constexpr std::size_t header_bytes = length_bytes + length_check_bytes + content_check_bytes;
constexpr unsigned bits_in_byte = 8;

void put_number(std::string& into, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t at = 0; at < bytes; ++at) {
        into.push_back(static_cast<char>(number >> (at * bits_in_byte)));
    }
}

std::uint64_t take_number(std::string_view& from, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (std::size_t at = 0; at < bytes; ++at) {
        number |= std::uint64_t{static_cast<unsigned char>(from[at])} << (at * bits_in_byte);
    }
    from.remove_prefix(bytes);
    return number;
}

std::uint32_t length_check(std::uint64_t length)
{
    return XXH32(&length, sizeof(length), 0);
}

bool is_zeros(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char each) { return each == '\0'; });
}

} // namespace

std::string frame_record(std::string_view content)
{
    std::string record;
    record.reserve(header_bytes + content.size());
    put_number(record, content.size(), length_bytes);
    put_number(record, length_check(content.size()), length_check_bytes);
    put_number(record, XXH3_64bits(content.data(), content.size()), content_check_bytes);
    record.append(content);
    return record;
}

result<record_reading> read_record(record_cursor& cursor)
{
    std::string_view rest = cursor.bytes.substr(cursor.offset);
    if (rest.empty()) {
        return record_reading{record_status::end, {}};
    }
    if (rest.size() < header_bytes || is_zeros(rest)) {
        return record_reading{record_status::torn, {}};
    }
    const auto bad = [&](std::string_view what) {
        return fail("read_record", cursor.file, fmt::format("bad {} at offset {}", what, cursor.offset));
    };
    const std::uint64_t length = take_number(rest, length_bytes);
    const std::uint64_t stored_length_check = take_number(rest, length_check_bytes);
    const std::uint64_t stored_content_check = take_number(rest, content_check_bytes);
    if (stored_length_check != length_check(length)) {
        return bad("record length");
    }
    if (rest.size() < length) {
        return record_reading{record_status::torn, {}};
    }
    const std::string_view content = rest.substr(0, length);
    if (XXH3_64bits(content.data(), content.size()) != stored_content_check) {
        const bool is_last = rest.size() == length;
        if (is_last) {
            return record_reading{record_status::torn, {}};
        }
        return bad("record content");
    }
    cursor.offset += header_bytes + length;
    return record_reading{record_status::whole, content};
}

} // namespace hickorymount::storage::detail
