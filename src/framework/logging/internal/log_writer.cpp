#include "logging/log_writer.h"

#include <chrono>
#include <cstdio>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace hickorymount::logging {

namespace {

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

} // namespace

log_writer::log_writer(std::string host, log_level least) : m_host(std::move(host)), m_least(least) {}

void log_writer::write(const log_record& record) const
{
    if (record.level < m_least) {
        return;
    }
    fmt::print(stderr, "{}\n", format_record(record, m_host, time_text()));
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
