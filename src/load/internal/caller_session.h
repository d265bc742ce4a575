#pragma once

#include "http/client.h"
#include "load/types.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hickorymount::load::detail {

/// One caller: sends one request at a time, each to an entry host of its choice, and keeps its token.
class caller_session
{
public:
    caller_session(const load_options& options, int number, std::string run_name);

    /// Sends the request that was due at `due` and remembers what the caller was told.
    void send_one(std::chrono::steady_clock::time_point due);

    [[nodiscard]] std::vector<request_trace> take_traces() { return std::move(m_traces); }

private:
    struct written_value
    {
        std::string key;
        std::string value;
    };

    request_trace next_request();
    void note_answer(request_trace& trace, const http::call_result& got);
    void note_whole_answer(request_trace& trace, const http::response& answer);
    http::call_result post(const request_trace& trace);
    void resend(const request_trace& trace);

    const load_options& m_options;
    int m_number;
    std::string m_run_name;
    std::minstd_rand m_random;
    int m_next = 0;
    std::string m_token;
    std::map<group_name, written_value> m_written;
    std::vector<request_trace> m_traces;
};

} // namespace hickorymount::load::detail
