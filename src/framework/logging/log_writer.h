#pragma once

#include "logging/internal/line_limiter.h"
#include "logging/types.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace hickorymount::logging {

/// Writes each record as one key=value line to standard output. Safe to call from any thread. Never blocks:
/// lines above the rate limit, or that standard output can't take, are dropped, and the next line gives their
/// number.
class log_writer
{
public:
    log_writer(std::string host, log_level minimum_level);

    void write(const log_record& record) const;

private:
    std::string m_host;
    log_level m_minimum_level;
    mutable std::mutex m_mutex;
    mutable detail::line_limiter m_limiter;
    mutable std::uint64_t m_dropped_lines = 0;
};

/// Formats a record as `time=… level=… host=… step=… peer=… …`, without a line break.
std::string format_record(const log_record& record, const std::string& host, const std::string& time);

} // namespace hickorymount::logging
