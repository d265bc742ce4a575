#pragma once

#include "base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorymount::storage {

/// The files of one data folder. Names are plain file names within the folder. Errors name the file and the
/// reason given by the operating system.
class disk
{
public:
    disk() = default;
    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;
    virtual ~disk() = default;

    /// The whole content of the file, or nothing when the file does not exist.
    virtual result<std::optional<std::string>> read(const std::string& name) = 0;

    /// Appends to the file and creates the file where needed. Not durable before `sync`.
    virtual result<void> append(const std::string& name, std::string_view bytes) = 0;

    /// Cuts the file off after `bytes`. Not durable before `sync`. Takes no space on the disk.
    virtual result<void> truncate(const std::string& name, std::uint64_t bytes) = 0;

    /// Makes all appended bytes and the directory entry of the file durable.
    virtual result<void> sync(const std::string& name) = 0;

    /// Replaces the file atomically and durably: after a crash the file has either the old or the new
    /// content.
    virtual result<void> replace(const std::string& name, std::string_view bytes) = 0;
};

} // namespace hickorymount::storage
