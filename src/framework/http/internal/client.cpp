#include "http/client.h"

#include <array>
#include <mutex>
#include <utility>

#include <civetweb.h>
#include <fmt/format.h>

namespace hickorymount::http {

namespace {

constexpr std::size_t error_text_bytes = 128;
constexpr std::size_t read_bytes = std::size_t{16} << 10;
constexpr long long max_response_bytes = 64LL << 20;

void initialize_library()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(0); });
}

class civetweb_connection final : public client_connection
{
public:
    civetweb_connection(mg_connection* connection, std::string host)
        : m_connection(connection), m_host(std::move(host))
    {
    }
    ~civetweb_connection() override { mg_close_connection(m_connection); }
    civetweb_connection(const civetweb_connection&) = delete;
    civetweb_connection& operator=(const civetweb_connection&) = delete;

    call_result call(const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& headers, const std::string& body,
                     milliseconds timeout) override
    {
        std::string message = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", method,
                                          path, m_host, body.size());
        for (const auto& [name, value] : headers) {
            message += fmt::format("{}: {}\r\n", name, value);
        }
        message += "\r\n" + body;
        const int written = mg_write(m_connection, message.data(), message.size());
        if (written != static_cast<int>(message.size())) {
            return lost_result("the request could not be sent whole");
        }
        std::array<char, error_text_bytes> error_text{};
        const int timeout_ms = static_cast<int>(timeout.count() > 0 ? timeout.count() : 1);
        if (mg_get_response(m_connection, error_text.data(), error_text.size(), timeout_ms) < 0) {
            return lost_result(error_text.data());
        }
        return read_response();
    }

private:
    static call_result lost_result(std::string reason)
    {
        return {call_status::response_lost, {}, std::move(reason)};
    }

    call_result read_response()
    {
        const mg_response_info* info = mg_get_response_info(m_connection);
        if (info == nullptr || info->content_length < 0 || info->content_length > max_response_bytes) {
            return lost_result("the response has no usable length");
        }
        call_result result{call_status::answered, {}, {}};
        result.answer.status = info->status_code;
        const auto length = static_cast<std::size_t>(info->content_length);
        for (int index = 0; index < info->num_headers; ++index) {
            result.answer.headers.emplace(info->http_headers[index].name, info->http_headers[index].value);
        }
        std::array<char, read_bytes> buffer{};
        while (result.answer.body.size() < length) {
            const int count = mg_read(m_connection, buffer.data(), buffer.size());
            if (count <= 0) {
                return lost_result("the response was cut short");
            }
            result.answer.body.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return result;
    }

    mg_connection* m_connection;
    std::string m_host;
};

} // namespace

result<std::unique_ptr<client_connection>> connect(const std::string& address, std::uint16_t port)
{
    initialize_library();
    std::array<char, error_text_bytes> error_text{};
    mg_connection* connection =
        mg_connect_client(address.c_str(), port, 0, error_text.data(), error_text.size());
    const std::string host = fmt::format("{}:{}", address, port);
    if (connection == nullptr) {
        return fail("connect", host, error_text.data());
    }
    return std::unique_ptr<client_connection>(std::make_unique<civetweb_connection>(connection, host));
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
