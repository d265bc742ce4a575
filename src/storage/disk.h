#pragma once

#include "base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorymount::storage {

/// The files of one data folder. Names are plain file names within it. Errors name the file and the
/// system's reason.
class disk
{
public:
    disk() = default;
    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;
    virtual ~disk() = default;

    /// The whole file, or nothing when there is none.
    virtual result<std::optional<std::string>> read(const std::string& name) = 0;

    /// Appends to the file, creating it where needed. Not durable before `sync`.
    virtual result<void> append(const std::string& name, std::string_view bytes) = 0;

    /// Makes everything appended to the file durable, its folder entry included.
    virtual result<void> sync(const std::string& name) = 0;

    /// Replaces the file at once and durably: after a crash it is the old one or the new one.
    virtual result<void> replace(const std::string& name, std::string_view bytes) = 0;
};

} // namespace hickorymount::storage
