#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorymount::storage::detail {

/// Frames content as one record.
std::string frame_record(std::string_view content);

/// Where reading the records of one file stands.
struct record_cursor
{
    std::string_view bytes;
    std::size_t offset = 0;
    std::string file;
};

enum class record_status
{
    whole,
    end,
    torn
};

struct record_reading
{
    record_status status = record_status::end;
    std::string_view content;
};

/// Reads the record at the cursor and moves past it. Errors: a bad record that more data follows.
result<record_reading> read_record(record_cursor& cursor);

} // namespace hickorymount::storage::detail
