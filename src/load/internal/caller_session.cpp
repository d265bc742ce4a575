#include "load/internal/caller_session.h"

#include "codec/json_codec.h"

#include <utility>

#include <fmt/format.h>

namespace hickorymount::load::detail {

namespace {

using codec::json;

/// Share of the answered bookings that are sent again, to check that the repetition does not run.
constexpr int resend_percent = 20;

std::string text_member(const json& document, const char* name)
{
    const auto member = document.find(name);
    return member != document.end() && member->is_string() ? member->get<std::string>() : std::string();
}

} // namespace

caller_session::caller_session(const load_options& options, int session_number, std::string run_name)
    : m_options(options), m_session_number(session_number), m_run_name(std::move(run_name)),
      m_random(options.seed * 1'000 + static_cast<std::uint32_t>(session_number) + 1)
{
}

void caller_session::send_request(std::chrono::steady_clock::time_point due)
{
    request_trace trace = next_request();
    const http::call_result call = post(trace);
    trace.ended_at = unix_now();
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - due;
    trace.latency_ms = elapsed.count();
    record_answer(trace, call);
    m_traces.push_back(trace);
    const bool is_uncertain =
        trace.outcome == request_outcome::unknown || trace.outcome == request_outcome::no_answer;
    const bool should_resend = trace.kind == request_kind::booking &&
                               (is_uncertain || static_cast<int>(m_random() % 100) < resend_percent);
    if (should_resend) {
        resend(trace);
    }
}

request_trace caller_session::next_request()
{
    request_trace trace;
    trace.session = m_session_number;
    trace.group = m_options.groups[m_random() % m_options.groups.size()];
    const auto last_write = m_last_writes.find(trace.group);
    const bool is_read = static_cast<int>(m_random() % 100) < m_options.read_percent;
    const bool is_booking =
        !m_options.booking_class.empty() && static_cast<int>(m_random() % 100) < m_options.booking_percent;
    trace.kind = is_read ? request_kind::read : is_booking ? request_kind::booking : request_kind::write;
    if (is_read) {
        trace.key = last_write == m_last_writes.end() ? "nothing" : last_write->second.key;
        trace.value = last_write == m_last_writes.end() ? "" : last_write->second.value;
        return trace;
    }
    ++m_last_write_number;
    trace.key = fmt::format("{}-{}-{}-{}", trace.kind == request_kind::booking ? "b" : "w", m_run_name,
                            m_session_number, m_last_write_number);
    trace.request_key = fmt::format("{}-{}", unix_now().count() / 1000, trace.key);
    trace.value = trace.kind == request_kind::booking ? "1" : std::to_string(m_random() % 1000);
    return trace;
}

http::call_result caller_session::post(const request_trace& trace)
{
    const protocol::endpoint& entry_host = m_options.entry_hosts[m_random() % m_options.entry_hosts.size()];
    json body;
    std::map<std::string, std::string> headers{
        {"Connection", "close"}, {"Hickorymount-Timeout-Ms", std::to_string(m_options.timeout.count())}};
    switch (trace.kind) {
    case request_kind::read:
        body = {{"class", m_options.read_class}, {"statement", "get " + trace.key}};
        break;
    case request_kind::write:
        body = {{"class", m_options.write_class}, {"statement", "put " + trace.key + " " + trace.value}};
        break;
    case request_kind::booking:
        body = {{"class", m_options.booking_class}, {"statement", "add " + trace.key + " 1"}};
        headers["Hickorymount-Request-Key"] = trace.request_key;
        break;
    }
    if (!m_token.empty()) {
        headers["Hickorymount-Session"] = m_token;
    }
    return handle_failure(
        [&]() -> result<http::call_result> {
            BOOST_LEAF_AUTO(connection, http::connect(entry_host.address, entry_host.port));
            // A live entry host answers within the caller's time limit, so a longer wait detects a failed
            // one.
            return connection->call("POST", "/v1/groups/" + trace.group.value + "/statements", headers,
                                    body.dump(), m_options.timeout + milliseconds{2000});
        },
        [](const failure& error) {
            return http::call_result{http::call_status::not_sent, {}, to_string(error)};
        });
}

void caller_session::record_answer(request_trace& trace, const http::call_result& call)
{
    if (call.status == http::call_status::not_sent) {
        trace.outcome = request_outcome::not_run;
        trace.reason = "entry host not reached";
        return;
    }
    if (call.status == http::call_status::response_lost) {
        trace.outcome = request_outcome::no_answer;
        trace.reason = "connection to the entry host lost";
        return;
    }
    const json document = json::parse(call.answer.body, nullptr, false);
    const std::string outcome = document.is_object() ? text_member(document, "outcome") : "";
    const std::string token = http::header(call.answer.headers, "Hickorymount-Session");
    if (outcome == "answered") {
        record_success(trace, call.answer);
    } else if (outcome == "not_run") {
        trace.outcome = request_outcome::not_run;
        trace.reason = text_member(document, "reason");
        if (trace.reason == "session_position_lost") {
            m_last_writes.erase(trace.group);
        }
    } else if (outcome == "outcome_unknown") {
        trace.outcome = request_outcome::unknown;
        trace.reason = "outcome_unknown: " + text_member(document, "detail");
    } else {
        trace.outcome = request_outcome::no_answer;
        trace.reason = "not an answer";
    }
    if (!token.empty()) {
        m_token = token;
    }
}

void caller_session::record_success(request_trace& trace, const http::response& answer)
{
    const json document = json::parse(answer.body);
    trace.outcome = request_outcome::answered;
    trace.served_by = text_member(document, "served_by");
    trace.is_replica = text_member(document, "role") == "replica";
    trace.is_repeated = document.value("repeated", false);
    const json result = document.value("result", json::object());
    if (trace.kind == request_kind::read) {
        trace.is_stale = !trace.value.empty() && text_member(result, "value") != trace.value;
        return;
    }
    m_last_writes[trace.group] = {trace.key, trace.value};
}

void caller_session::resend(const request_trace& trace)
{
    request_trace resent = trace;
    const auto started_at = std::chrono::steady_clock::now();
    const http::call_result call = post(resent);
    resent.ended_at = unix_now();
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - started_at;
    resent.latency_ms = elapsed.count();
    resent.served_by.clear();
    record_answer(resent, call);
    m_traces.push_back(std::move(resent));
}

} // namespace hickorymount::load::detail
