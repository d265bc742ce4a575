#pragma once

#include "base/millisecond_clock.h"
#include "logging/types.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace hickorymount::logging {

/// Writes one key=value line a record to standard output. Safe to call from any thread. Never blocks: beyond
/// a budget, or when the reader does not keep up, lines are left out, and the next one tells how many.
class log_writer
{
public:
    log_writer(std::string host, log_level least);

    void write(const log_record& record) const;

private:
    void refill() const;

    std::string m_host;
    log_level m_least;
    mutable std::mutex m_mutex;
    mutable double m_allowance;
    mutable time_point m_refilled_at;
    mutable std::uint64_t m_left_out = 0;
};

/// `time=… level=… host=… step=… peer=… …`, without the end of the line.
std::string format_record(const log_record& record, const std::string& host, const std::string& time);

} // namespace hickorymount::logging
