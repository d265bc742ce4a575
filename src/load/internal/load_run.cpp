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

/// Sends the session's share of the arrivals, which are evenly spaced over all sessions.
void run_session(detail::caller_session& session, const load_options& options, int number,
                 std::chrono::steady_clock::time_point began)
{
    const auto interval =
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::seconds(1)) / options.rate;
    const auto end = began + options.duration;
    for (std::int64_t arrival = number;; arrival += options.sessions) {
        const auto due = began + interval * arrival;
        if (due >= end || std::chrono::steady_clock::now() >= end) {
            return;
        }
        std::this_thread::sleep_until(due);
        session.send_one(due);
    }
}

result<server_history> read_history(const protocol::endpoint& from)
{
    const std::string peer = to_string(from);
    const http::call_result status =
        http::call_once(from.address, from.port, "GET", "/v1/status", "", history_timeout);
    if (status.status != http::call_status::answered) {
        return fail("read_history", peer, status.reason);
    }
    BOOST_LEAF_AUTO(report_document, codec::parse_json(status.answer.body, codec::caller_input_limits, peer));
    BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(report_document, peer));
    server_history history{report.name, report.group, report.at.term, {}};
    for (;;) {
        const std::string path = fmt::format("/v1/log?{}", history.records.size());
        const http::call_result page =
            http::call_once(from.address, from.port, "GET", path, "", history_timeout);
        if (page.status != http::call_status::answered) {
            return fail("read_history", peer, page.reason);
        }
        BOOST_LEAF_AUTO(document, codec::parse_json(page.answer.body, codec::peer_input_limits, peer));
        BOOST_LEAF_AUTO(answer, codec::decode<database::log_answer>(document, peer));
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
    for (int number = 0; number < options.sessions; ++number) {
        sessions.push_back(std::make_unique<detail::caller_session>(options, number, run_name));
    }
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(sessions.size());
    for (int number = 0; number < options.sessions; ++number) {
        threads.emplace_back([&, number] {
            run_session(*sessions[static_cast<std::size_t>(number)], options, number, began);
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    std::vector<request_trace> traces;
    for (const auto& session : sessions) {
        std::vector<request_trace> own = session->take_traces();
        std::move(own.begin(), own.end(), std::back_inserter(traces));
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
