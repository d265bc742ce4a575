#include "http/timed_call.h"

#include "http/internal/message_head.h"

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hickorymount::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using unacknowledged_data_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::uint64_t max_response_bytes = 1 << 20;

/// One call, as a chain of asynchronous steps that each have a time limit.
class timed_call
{
public:
    explicit timed_call(const timed_request& request) : m_request(request), m_stream(m_context) {}

    call_result run()
    {
        m_result.reason = detail::request_head_error(m_request.method, m_request.path, m_request.headers);
        if (!m_result.reason.empty()) {
            return m_result;
        }
        beast::error_code error;
        const auto address = asio::ip::make_address(m_request.address, error);
        if (error) {
            return {call_status::not_sent, {}, "not an IP address"};
        }
        if (!start_step(m_request.send_before - millisecond_clock::now())) {
            return m_result;
        }
        m_stream.async_connect(asio::ip::tcp::endpoint(address, m_request.port),
                               [this](const beast::error_code& failure) { send(failure); });
        m_context.run();
        return m_result;
    }

private:
    bool start_step(milliseconds limit)
    {
        if (limit <= milliseconds{0}) {
            m_result.reason = "the time to send the request has passed";
            return false;
        }
        m_stream.expires_after(std::chrono::milliseconds(limit.count()));
        return true;
    }

    void send(const beast::error_code& failure)
    {
        if (failure) {
            m_result.reason = failure.message();
            return;
        }
        m_message.method_string(m_request.method);
        m_message.target(m_request.path);
        m_message.version(11);
        m_message.set(beast::http::field::host, fmt::format("{}:{}", m_request.address, m_request.port));
        m_message.set(beast::http::field::connection, "close");
        for (const auto& [name, value] : m_request.headers) {
            m_message.set(name, value);
        }
        m_message.body() = m_request.body;
        m_message.prepare_payload();
        discard_late_bytes();
        if (!start_step(m_request.send_before - millisecond_clock::now())) {
            return;
        }
        m_result = {call_status::response_lost, {}, ""};
        beast::http::async_write(m_stream, m_message,
                                 [this](const beast::error_code& error, std::size_t) { receive(error); });
    }

    /// Lets the system give up bytes that a cut link holds back, also while this process is suspended, and
    /// lets a close discard them.
    void discard_late_bytes()
    {
        beast::error_code ignored;
        m_stream.socket().set_option(
            unacknowledged_data_timeout(static_cast<int>(m_request.response_timeout.count())), ignored);
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }

    void receive(const beast::error_code& failure)
    {
        if (failure) {
            m_result.reason = failure.message();
            return;
        }
        m_stream.expires_after(std::chrono::milliseconds(m_request.response_timeout.count()));
        m_parser.body_limit(max_response_bytes);
        beast::http::async_read(m_stream, m_buffer, m_parser,
                                [this](const beast::error_code& error, std::size_t) { finish(error); });
    }

    void finish(const beast::error_code& failure)
    {
        if (failure) {
            m_result.reason = failure.message();
            return;
        }
        m_result.status = call_status::answered;
        m_result.answer.status = static_cast<int>(m_parser.get().result_int());
        m_result.answer.body = m_parser.get().body();
    }

    const timed_request& m_request;
    asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_message;
    beast::http::response_parser<beast::http::string_body> m_parser;
    call_result m_result;
};

} // namespace

call_result call_in_time(const timed_request& request)
{
    return timed_call(request).run();
}

} // namespace hickorymount::http
