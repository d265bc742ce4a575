#pragma once

#include "logging/types.h"

#include <string>

namespace hickorymount::logging {

/// Writes one key=value line a record to standard error. Safe to call from any thread.
class log_writer
{
public:
    log_writer(std::string host, log_level least);

    void write(const log_record& record) const;

private:
    std::string m_host;
    log_level m_least;
};

/// `time=… level=… host=… step=… peer=… …`, without the end of the line.
std::string format_record(const log_record& record, const std::string& host, const std::string& time);

} // namespace hickorymount::logging
