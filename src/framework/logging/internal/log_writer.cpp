#include "logging/log_writer.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace hickorymount::logging {

namespace {

/// Lines a second, and lines that may come at once after a quiet time.
constexpr double lines_per_second = 60;
constexpr double lines_at_once = 300;

const char* name_of(log_level level)
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

std::string time_text()
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return fmt::format("{:%FT%T}Z", now);
}

/// False when the reader of standard output does not keep up: the line would block.
bool write_line(const std::string& line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

log_writer::log_writer(std::string host, log_level least)
    : m_host(std::move(host)), m_least(least), m_allowance(lines_at_once),
      m_refilled_at(millisecond_clock::now())
{
}

void log_writer::write(const log_record& record) const
{
    if (record.level < m_least) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    refill();
    // Errors end the process or its work; they are few, and always written.
    const bool is_allowed = m_allowance >= 1 || record.level == log_level::error;
    if (!is_allowed) {
        ++m_left_out;
        return;
    }
    m_allowance -= 1;
    log_record counted = record;
    if (m_left_out > 0) {
        counted.text += fmt::format(" left_out={}", m_left_out);
    }
    if (write_line(format_record(counted, m_host, time_text()) + "\n")) {
        m_left_out = 0;
    } else {
        ++m_left_out;
    }
}

void log_writer::refill() const
{
    constexpr double milliseconds_in_second = 1000;
    const time_point now = millisecond_clock::now();
    const auto passed = static_cast<double>((now - m_refilled_at).count());
    m_refilled_at = now;
    m_allowance = std::min(lines_at_once, m_allowance + passed * lines_per_second / milliseconds_in_second);
}

std::string format_record(const log_record& record, const std::string& host, const std::string& time)
{
    std::string line =
        fmt::format("time={} level={} host={} step={}", time, name_of(record.level), host, record.step);
    if (!record.peer.empty()) {
        line += " peer=" + record.peer;
    }
    if (!record.text.empty()) {
        line += " " + record.text;
    }
    for (char& each : line) {
        each = each == '\n' || each == '\r' ? ' ' : each;
    }
    return line;
}

} // namespace hickorymount::logging
