#include "logging/log_writer.h"

#include "base/names.h"
#include "logging/fields.h"

#include <chrono>
#include <cstdio>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace hickorymount::logging {

namespace {

/// Records that name a request begin with its id.
bool is_about_request(const log_record& record)
{
    return record.text.starts_with("id=");
}

const char* level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::information:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string utc_timestamp()
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return fmt::format("{:%FT%T}Z", now);
}

/// Writes a line unless that would block. Returns false when the line was not written completely.
bool try_write_line(const std::string& line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

log_writer::log_writer(std::string host, log_level minimum_level)
    : m_host(std::move(host)), m_minimum_level(minimum_level), m_limiter(millisecond_clock::now())
{
}

void log_writer::write(const log_record& record) const
{
    if (record.level < m_minimum_level) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    // Errors are exempt from the rate limit: they are few, and end the process or its work.
    const bool is_allowed = m_limiter.take(is_about_request(record), millisecond_clock::now()) ||
                            record.level == log_level::error;
    if (!is_allowed) {
        ++m_dropped_lines;
        return;
    }
    log_record output_record = record;
    if (m_dropped_lines > 0) {
        output_record.text += fmt::format(" left_out={}", m_dropped_lines);
    }
    if (try_write_line(format_record(output_record, m_host, utc_timestamp()) + "\n")) {
        m_dropped_lines = 0;
    } else {
        ++m_dropped_lines;
    }
}

std::string format_record(const log_record& record, const std::string& host, const std::string& time)
{
    std::string line =
        fmt::format("time={} level={} host={} step={}", time, level_name(record.level), host, record.step);
    if (!record.peer.empty()) {
        line += " peer=" + value(record.peer);
    }
    if (!record.text.empty()) {
        line += " " + record.text;
    }
    // The text has its own quotes, but nothing in it may end the line or act on a terminal.
    return is_line_text(line) ? line : without_control_characters(line);
}

} // namespace hickorymount::logging
