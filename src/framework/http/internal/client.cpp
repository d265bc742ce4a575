#include "http/client.h"

#include "http/internal/message_head.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace hickorymount::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::uint64_t max_response_bytes = std::uint64_t{64} << 20;
constexpr std::uint32_t max_response_head_bytes = std::uint32_t{16} << 10;
constexpr std::chrono::seconds connect_timeout{10};
constexpr unsigned first_final_status = 200;

class beast_connection final : public client_connection
{
public:
    explicit beast_connection(std::string host) : m_stream(m_context), m_host(std::move(host)) {}

    beast::error_code open(const std::string& address, std::uint16_t port)
    {
        beast::error_code error;
        asio::ip::tcp::resolver resolver(m_context);
        const auto addresses = resolver.resolve(address, std::to_string(port), error);
        if (error) {
            return error;
        }
        m_stream.expires_after(connect_timeout);
        m_stream.async_connect(
            addresses, [&](const beast::error_code& failure, const auto& /*endpoint*/) { error = failure; });
        run();
        if (!error) {
            beast::error_code ignored;
            m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        return error;
    }

    call_result call(const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& headers, const std::string& body,
                     milliseconds timeout) override
    {
        if (std::string reason = detail::request_head_error(method, path, headers); !reason.empty()) {
            return {call_status::not_sent, {}, std::move(reason)};
        }
        if (has_unread_bytes()) {
            return {call_status::not_sent, {}, "bytes that answer no request came on the connection"};
        }
        std::string message = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", method,
                                          path, m_host, body.size());
        for (const auto& [name, value] : headers) {
            message += fmt::format("{}: {}\r\n", name, value);
        }
        message += "\r\n" + body;
        m_stream.expires_after(std::chrono::milliseconds(timeout.count() > 0 ? timeout.count() : 1));
        beast::error_code error;
        asio::async_write(m_stream, asio::buffer(message),
                          [&](const beast::error_code& failure, std::size_t) { error = failure; });
        run();
        return error ? lost_result("the request could not be sent whole: " + error.message())
                     : receive_response();
    }

private:
    using response_parser = beast::http::response_parser<beast::http::string_body>;

    static call_result lost_result(std::string reason)
    {
        return {call_status::response_lost, {}, std::move(reason)};
    }

    void run()
    {
        m_context.restart();
        m_context.run();
    }

    /// After a whole response nothing comes before the next request. What does is no answer to it.
    bool has_unread_bytes()
    {
        beast::error_code error;
        return m_buffer.size() > 0 || m_stream.socket().available(error) > 0;
    }

    call_result receive_response()
    {
        response_parser parser;
        parser.header_limit(max_response_head_bytes);
        parser.body_limit(max_response_bytes);
        beast::error_code error;
        const auto keep_error = [&](const beast::error_code& failure, std::size_t) { error = failure; };
        beast::http::async_read_header(m_stream, m_buffer, parser, keep_error);
        run();
        if (error) {
            return lost_result(error.message());
        }
        if (!parser.content_length()) {
            return lost_result("the response has no usable length");
        }
        if (parser.get().result_int() < first_final_status) {
            return lost_result("the response is not a final one");
        }
        beast::http::async_read(m_stream, m_buffer, parser, keep_error);
        run();
        return error ? lost_result("the response was cut short: " + error.message())
                     : to_call_result(parser.release());
    }

    static call_result to_call_result(response_parser::value_type received)
    {
        call_result result{call_status::answered, {}, {}};
        result.answer.status = static_cast<int>(received.result_int());
        for (const auto& field : received) {
            result.answer.headers.emplace(field.name_string(), field.value());
        }
        result.answer.body = std::move(received.body());
        return result;
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_host;
};

} // namespace

result<std::unique_ptr<client_connection>> connect(const std::string& address, std::uint16_t port)
{
    const std::string host = fmt::format("{}:{}", address, port);
    auto connection = std::make_unique<beast_connection>(host);
    if (const beast::error_code error = connection->open(address, port)) {
        return fail("connect", host, error.message());
    }
    return std::unique_ptr<client_connection>(std::move(connection));
}

call_result call_once(const std::string& address, std::uint16_t port, const std::string& method,
                      const std::string& path, const std::string& body, milliseconds timeout)
{
    return handle_failure(
        [&]() -> result<call_result> {
            BOOST_LEAF_AUTO(connection, connect(address, port));
            return connection->call(method, path, {{"Connection", "close"}}, body, timeout);
        },
        [](const failure& error) {
            return call_result{call_status::not_sent, {}, to_string(error)};
        });
}

} // namespace hickorymount::http
