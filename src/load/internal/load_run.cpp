#include "load/load_run.h"

#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "http/client.h"
#include "load/internal/caller_session.h"

#include <chrono>
#include <iterator>
#include <random>
#include <thread>

#include <fmt/format.h>

namespace hickorymount::load {

namespace {

constexpr milliseconds history_timeout{5000};

/// Sends the session's requests. The arrivals are evenly spaced and assigned to the sessions in turn.
void run_session(detail::caller_session& session, const load_options& options, int session_number,
                 std::chrono::steady_clock::time_point started_at)
{
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::seconds(1)) /
                          options.requests_per_second;
    const auto end = started_at + options.duration;
    for (std::int64_t arrival = session_number;; arrival += options.sessions) {
        const auto due = started_at + interval * arrival;
        if (due >= end || std::chrono::steady_clock::now() >= end) {
            return;
        }
        std::this_thread::sleep_until(due);
        session.send_request(due);
    }
}

result<server_history> read_history(const protocol::endpoint& server)
{
    const std::string peer = to_string(server);
    const http::call_result status =
        http::call_once(server.address, server.port, "GET", "/v1/status", "", history_timeout);
    if (status.status != http::call_status::answered) {
        return fail("read_history", peer, status.reason);
    }
    BOOST_LEAF_AUTO(report_document, codec::parse_json(status.answer.body, codec::caller_input_limits, peer));
    BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(report_document, peer));
    server_history history{report.name, report.group, report.position.term, {}};
    for (;;) {
        const std::string path = fmt::format("/v1/log?{}", history.records.size());
        const http::call_result page =
            http::call_once(server.address, server.port, "GET", path, "", history_timeout);
        if (page.status != http::call_status::answered) {
            return fail("read_history", peer, page.reason);
        }
        BOOST_LEAF_AUTO(document, codec::parse_json(page.answer.body, codec::peer_input_limits, peer));
        BOOST_LEAF_AUTO(answer, codec::decode<database::log_response>(document, peer));
        if (answer.records.empty()) {
            return history;
        }
        history.records.insert(history.records.end(), answer.records.begin(), answer.records.end());
    }
}

} // namespace

std::vector<request_trace> run_load(const load_options& options)
{
    std::random_device random;
    const std::string run_name = fmt::format("{:08x}", random());
    std::vector<std::unique_ptr<detail::caller_session>> sessions;
    sessions.reserve(static_cast<std::size_t>(options.sessions));
    for (int session_number = 0; session_number < options.sessions; ++session_number) {
        sessions.push_back(std::make_unique<detail::caller_session>(options, session_number, run_name));
    }
    const auto started_at = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(sessions.size());
    for (int session_number = 0; session_number < options.sessions; ++session_number) {
        threads.emplace_back([&, session_number] {
            run_session(*sessions[static_cast<std::size_t>(session_number)], options, session_number,
                        started_at);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::vector<request_trace> traces;
    for (const auto& session : sessions) {
        std::vector<request_trace> session_traces = session->release_traces();
        std::move(session_traces.begin(), session_traces.end(), std::back_inserter(traces));
    }
    return traces;
}

std::vector<server_history> read_histories(const std::vector<protocol::endpoint>& backend_servers)
{
    std::vector<server_history> histories;
    for (const protocol::endpoint& server : backend_servers) {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(history, read_history(server));
                histories.push_back(std::move(history));
                return {};
            },
            [](const failure&) {});
    }
    return histories;
}

} // namespace hickorymount::load
