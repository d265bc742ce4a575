#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorymount::storage::detail {

/// Prefixes `content` with the header described at `log_storage`.
std::string frame_record(std::string_view content);

/// The position of a reader in the records of one file.
struct record_cursor
{
    /// The whole file.
    std::string_view bytes;
    /// Bytes from the start of the file.
    std::size_t offset = 0;
    /// For error messages.
    std::string file_name;
};

/// The outcome of reading one record.
enum class record_read_status
{
    valid,
    end,
    /// The last record of the file was only partly written.
    torn
};

/// A record as read; `content` is empty unless the status is `valid`.
struct record_read
{
    record_read_status status = record_read_status::end;
    std::string_view content;
};

/// Reads the record at the cursor and moves past it. Errors: a corrupt record with more data behind it, or a
/// header whose length does not match its checksum.
result<record_read> read_record(record_cursor& cursor);

} // namespace hickorymount::storage::detail
