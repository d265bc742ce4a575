#pragma once

#include "http/client.h"
#include "load/types.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hickorymount::load::detail {

/// A simulated caller: sends one request at a time to a random entry host, and passes on the session token.
class caller_session
{
public:
    caller_session(const load_options& options, int session_number, std::string run_name);

    /// Sends the request that was scheduled for `due` and records its outcome.
    void send_request(std::chrono::steady_clock::time_point due);

    [[nodiscard]] std::vector<request_trace> release_traces() { return std::move(m_traces); }

private:
    struct written_value
    {
        std::string key;
        std::string value;
    };

    request_trace next_request();
    void record_answer(request_trace& trace, const http::call_result& call);
    void record_success(request_trace& trace, const http::response& answer);
    http::call_result post(const request_trace& trace);
    void resend(const request_trace& trace);

    const load_options& m_options;
    int m_session_number;
    std::string m_run_name;
    std::minstd_rand m_random;
    int m_last_write_number = 0;
    std::string m_token;
    std::map<group_name, written_value> m_last_writes;
    std::vector<request_trace> m_traces;
};

} // namespace hickorymount::load::detail
