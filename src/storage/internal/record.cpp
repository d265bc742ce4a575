#include "storage/internal/record.h"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::storage::detail {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t length_checksum_bytes = 4;
constexpr std::size_t content_checksum_bytes = 8;
constexpr std::size_t header_bytes = length_bytes + length_checksum_bytes + content_checksum_bytes;
constexpr unsigned bits_in_byte = 8;

void append_little_endian(std::string& output, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t byte = 0; byte < bytes; ++byte) {
        output.push_back(static_cast<char>(number >> (byte * bits_in_byte)));
    }
}

std::uint64_t consume_little_endian(std::string_view& input, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (std::size_t byte = 0; byte < bytes; ++byte) {
        number |= std::uint64_t{static_cast<unsigned char>(input[byte])} << (byte * bits_in_byte);
    }
    input.remove_prefix(bytes);
    return number;
}

std::uint32_t length_checksum(std::uint64_t length)
{
    return XXH32(&length, sizeof(length), 0);
}

bool is_all_zeros(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char each) { return each == '\0'; });
}

} // namespace

std::string frame_record(std::string_view content)
{
    std::string record;
    record.reserve(header_bytes + content.size());
    append_little_endian(record, content.size(), length_bytes);
    append_little_endian(record, length_checksum(content.size()), length_checksum_bytes);
    append_little_endian(record, XXH3_64bits(content.data(), content.size()), content_checksum_bytes);
    record.append(content);
    return record;
}

result<record_read> read_record(record_cursor& cursor)
{
    std::string_view rest = cursor.bytes.substr(cursor.offset);
    if (rest.empty()) {
        return record_read{record_read_status::end, {}};
    }
    if (rest.size() < header_bytes || is_all_zeros(rest)) {
        return record_read{record_read_status::torn, {}};
    }
    const auto corrupt_record = [&](std::string_view part) {
        return fail("read_record", cursor.file_name,
                    fmt::format("checksum mismatch in the {} at offset {}", part, cursor.offset));
    };
    const std::uint64_t length = consume_little_endian(rest, length_bytes);
    const std::uint64_t stored_length_checksum = consume_little_endian(rest, length_checksum_bytes);
    const std::uint64_t stored_content_checksum = consume_little_endian(rest, content_checksum_bytes);
    if (stored_length_checksum != length_checksum(length)) {
        return corrupt_record("record length");
    }
    if (rest.size() < length) {
        return record_read{record_read_status::torn, {}};
    }
    const std::string_view content = rest.substr(0, length);
    if (XXH3_64bits(content.data(), content.size()) != stored_content_checksum) {
        const bool is_last_record = rest.size() == length;
        if (is_last_record) {
            return record_read{record_read_status::torn, {}};
        }
        return corrupt_record("record content");
    }
    cursor.offset += header_bytes + length;
    return record_read{record_read_status::valid, content};
}

} // namespace hickorymount::storage::detail
