#pragma once

#include <string>

namespace hickorymount::logging {

enum class log_level
{
    debug,
    information,
    warning,
    error
};

/// One log entry: the event (`step`), the peer that it concerns (may be empty) and further key=value text.
struct log_record
{
    log_level level = log_level::information;
    std::string step;
    std::string peer;
    std::string text;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace hickorymount::logging
