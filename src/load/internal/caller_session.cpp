#include "load/internal/caller_session.h"

#include "codec/json_codec.h"

#include <utility>

#include <fmt/format.h>

namespace hickorymount::load::detail {

namespace {

using codec::json;

/// Bookings that are sent a second time although they were answered.
constexpr int resend_percent = 20;

std::string text_member(const json& document, const char* name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

caller_session::caller_session(const load_options& options, int number, std::string run_name)
    : m_options(options), m_number(number), m_run_name(std::move(run_name)),
      m_random(options.seed * 1'000 + static_cast<std::uint32_t>(number) + 1)
{
}

void caller_session::send_one(std::chrono::steady_clock::time_point due)
{
    request_trace trace = next_request();
    const http::call_result got = post(trace);
    trace.ended_at = unix_now();
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - due;
    trace.took_ms = took.count();
    note_answer(trace, got);
    m_traces.push_back(trace);
    const bool is_uncertain =
        trace.outcome == told_outcome::unknown || trace.outcome == told_outcome::no_answer;
    const bool resends = trace.kind == request_kind::booking &&
                         (is_uncertain || static_cast<int>(m_random() % 100) < resend_percent);
    if (resends) {
        resend(trace);
    }
}

request_trace caller_session::next_request()
{
    request_trace trace;
    trace.session = m_number;
    trace.group = m_options.groups[m_random() % m_options.groups.size()];
    const auto written = m_written.find(trace.group);
    const bool reads = static_cast<int>(m_random() % 100) < m_options.read_percent;
    const bool books =
        !m_options.booking_class.empty() && static_cast<int>(m_random() % 100) < m_options.booking_percent;
    trace.kind = reads ? request_kind::read : books ? request_kind::booking : request_kind::write;
    if (reads) {
        trace.key = written == m_written.end() ? "nothing" : written->second.key;
        trace.value = written == m_written.end() ? "" : written->second.value;
        return trace;
    }
    ++m_next;
    trace.key = fmt::format("{}-{}-{}-{}", trace.kind == request_kind::booking ? "b" : "w", m_run_name,
                            m_number, m_next);
    trace.request_key = fmt::format("{}-{}", unix_now().count() / 1000, trace.key);
    trace.value = trace.kind == request_kind::booking ? "1" : std::to_string(m_random() % 1000);
    return trace;
}

http::call_result caller_session::post(const request_trace& trace)
{
    const protocol::endpoint& to = m_options.entry_hosts[m_random() % m_options.entry_hosts.size()];
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
            BOOST_LEAF_AUTO(connection, http::connect(to.address, to.port));
            // The entry host answers within the caller's time limit; beyond it only a dead one is silent.
            return connection->call("POST", "/v1/groups/" + trace.group.value + "/statements", headers,
                                    body.dump(), m_options.timeout + milliseconds{2000});
        },
        [](const failure& what) {
            return http::call_result{http::call_status::not_sent, {}, to_string(what)};
        });
}

void caller_session::note_answer(request_trace& trace, const http::call_result& got)
{
    if (got.status == http::call_status::not_sent) {
        trace.outcome = told_outcome::not_run;
        trace.reason = "entry host not reached";
        return;
    }
    if (got.status == http::call_status::lost) {
        trace.outcome = told_outcome::no_answer;
        trace.reason = "connection to the entry host lost";
        return;
    }
    const json document = json::parse(got.answer.body, nullptr, false);
    const std::string outcome = document.is_object() ? text_member(document, "outcome") : "";
    const std::string token = http::header(got.answer.headers, "Hickorymount-Session");
    if (outcome == "answered") {
        note_whole_answer(trace, got.answer);
    } else if (outcome == "not_run") {
        trace.outcome = told_outcome::not_run;
        trace.reason = text_member(document, "reason");
        if (trace.reason == "session_position_lost") {
            m_written.erase(trace.group);
        }
    } else if (outcome == "outcome_unknown") {
        trace.outcome = told_outcome::unknown;
        trace.reason = "outcome_unknown: " + text_member(document, "detail");
    } else {
        trace.outcome = told_outcome::no_answer;
        trace.reason = "not an answer";
    }
    if (!token.empty()) {
        m_token = token;
    }
}

void caller_session::note_whole_answer(request_trace& trace, const http::response& answer)
{
    const json document = json::parse(answer.body);
    trace.outcome = told_outcome::answered;
    trace.served_by = text_member(document, "served_by");
    trace.is_replica = text_member(document, "role") == "replica";
    trace.is_repeated = document.value("repeated", false);
    const json result = document.value("result", json::object());
    if (trace.kind == request_kind::read) {
        trace.is_stale = !trace.value.empty() && text_member(result, "value") != trace.value;
        return;
    }
    m_written[trace.group] = {trace.key, trace.value};
}

void caller_session::resend(const request_trace& trace)
{
    request_trace again = trace;
    const auto began = std::chrono::steady_clock::now();
    const http::call_result got = post(again);
    again.ended_at = unix_now();
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
    again.took_ms = took.count();
    again.served_by.clear();
    note_answer(again, got);
    m_traces.push_back(std::move(again));
}

} // namespace hickorymount::load::detail
