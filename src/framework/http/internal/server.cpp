#include "http/server.h"

#include "base/millisecond_clock.h"
#include "http/internal/message_head.h"

#include <array>
#include <atomic>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <civetweb.h>
#include <fmt/format.h>

namespace hickorymount::http {

namespace {

namespace beast = boost::beast;

/// CivetWeb's read returns only when the buffer is full or nothing has come for the request timeout. With a
/// small one, a client that sends byte after byte does not hold a thread for long.
constexpr std::size_t read_bytes = 16;
constexpr int internal_error = 500;
constexpr int bad_request = 400;

response text_response(int status, std::string text)
{
    response made;
    made.status = status;
    made.content_type = "text/plain";
    made.body = std::move(text);
    return made;
}

/// Why the end of the request's body is not certain; empty if it is. CivetWeb takes the first of several
/// lengths, and the digits that a length begins with.
std::string body_length_error(const mg_request_info& info)
{
    std::vector<std::string_view> lengths;
    std::vector<std::string_view> encodings;
    for (int index = 0; index < info.num_headers; ++index) {
        const std::string_view name = info.http_headers[index].name;
        const std::string_view value = info.http_headers[index].value;
        if (beast::iequals(name, "Content-Length")) {
            lengths.push_back(value);
        } else if (beast::iequals(name, "Transfer-Encoding")) {
            encodings.push_back(value);
        }
    }
    if (lengths.size() + encodings.size() > 1) {
        return "expected one Content-Length or Transfer-Encoding";
    }
    if (!lengths.empty() && !detail::is_content_length(lengths.front())) {
        return "expected a Content-Length of digits";
    }
    if (!encodings.empty() && !beast::iequals(encodings.front(), "chunked")) {
        return "expected no Transfer-Encoding but chunked";
    }
    return {};
}

/// CivetWeb's own decoding ends the path at an encoded null byte. Empty for a path with one.
std::string decoded_path(const mg_request_info& info)
{
    const std::string_view encoded = info.local_uri == nullptr ? "" : info.local_uri;
    std::string decoded(encoded.size() + 1, '\0');
    const int bytes = mg_url_decode(encoded.data(), static_cast<int>(encoded.size()), decoded.data(),
                                    static_cast<int>(decoded.size()), 0);
    decoded.resize(bytes < 0 ? 0 : static_cast<std::size_t>(bytes));
    return decoded.find('\0') == std::string::npos ? decoded : std::string();
}

class civetweb_server final : public server
{
public:
    civetweb_server(server_options options, request_handler on_request, closed_handler on_closed)
        : m_options(std::move(options)), m_on_request(std::move(on_request)),
          m_on_closed(std::move(on_closed))
    {
    }
    ~civetweb_server() override { civetweb_server::stop(); }
    civetweb_server(const civetweb_server&) = delete;
    civetweb_server& operator=(const civetweb_server&) = delete;

    bool start()
    {
        std::string listening_addresses = fmt::format("{}:{}", m_options.address, m_options.port);
        if (!m_options.additional_address.empty()) {
            listening_addresses += "," + m_options.additional_address;
        }
        const std::string threads = std::to_string(m_options.threads);
        const std::string keep_alive_timeout = std::to_string(m_options.keep_alive_timeout_ms);
        const std::string request_timeout = std::to_string(m_options.request_timeout_ms);
        const std::array<const char*, 15> settings{"listening_ports",
                                                   listening_addresses.c_str(),
                                                   "num_threads",
                                                   threads.c_str(),
                                                   "enable_keep_alive",
                                                   "yes",
                                                   "keep_alive_timeout_ms",
                                                   keep_alive_timeout.c_str(),
                                                   "request_timeout_ms",
                                                   request_timeout.c_str(),
                                                   "decode_url",
                                                   "no",
                                                   "tcp_nodelay",
                                                   "1",
                                                   nullptr};
        mg_callbacks callbacks{};
        callbacks.begin_request = [](mg_connection* connection) {
            const mg_request_info* info = mg_get_request_info(connection);
            return static_cast<civetweb_server*>(info->user_data)->serve(connection, *info);
        };
        callbacks.init_connection = [](const mg_connection* connection, void** data) {
            auto* self = static_cast<civetweb_server*>(mg_get_user_data(mg_get_context(connection)));
            ++self->m_open_connections;
            // The pointer holds the connection's number and is never dereferenced.
            *data = reinterpret_cast<void*>(++self->m_last_connection); // NOLINT(performance-no-int-to-ptr)
            return 0;
        };
        callbacks.connection_close = [](const mg_connection* connection) {
            auto* self = static_cast<civetweb_server*>(mg_get_user_data(mg_get_context(connection)));
            --self->m_open_connections;
            if (self->m_on_closed) {
                self->m_on_closed(connection_number(mg_get_user_connection_data(connection)));
            }
        };
        m_context = mg_start(&callbacks, this, const_cast<const char**>(settings.data()));
        return m_context != nullptr;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        std::array<mg_server_port, 1> ports{};
        const int count = mg_get_server_ports(m_context, 1, ports.data());
        return count > 0 ? static_cast<std::uint16_t>(ports[0].port) : 0;
    }

    void stop() override
    {
        if (m_context != nullptr) {
            mg_stop(std::exchange(m_context, nullptr));
        }
    }

private:
    static std::uint64_t connection_number(void* data) { return reinterpret_cast<std::uintptr_t>(data); }

    /// An exception must not leave CivetWeb's thread, which would end the process.
    int serve(mg_connection* connection, const mg_request_info& info)
    {
        try {
            return receive_and_answer(connection, info);
        } catch (const std::exception&) {
            // Such as out of memory. Nothing has been sent, or only a part of the response.
            mg_disable_connection_keep_alive(connection);
            return internal_error;
        }
    }

    int receive_and_answer(mg_connection* connection, const mg_request_info& info)
    {
        request incoming;
        incoming.path = decoded_path(info);
        std::string error =
            incoming.path.empty() ? "expected a path without null bytes" : body_length_error(info);
        if (!error.empty()) {
            response refusal = text_response(bad_request, std::move(error));
            refusal.closes_connection = true;
            write(connection, refusal);
            return refusal.status;
        }
        incoming.method = info.request_method;
        incoming.query = info.query_string == nullptr ? "" : info.query_string;
        incoming.connection_number = connection_number(mg_get_user_connection_data(connection));
        for (int index = 0; index < info.num_headers; ++index) {
            incoming.headers.emplace(info.http_headers[index].name, info.http_headers[index].value);
        }
        read_body(connection, info, incoming);
        response answer = handle(incoming);
        if (!detail::is_header("Content-Type", answer.content_type) || !detail::are_headers(answer.headers)) {
            answer = text_response(internal_error, "a header of the response has control characters");
        }
        const bool is_unread = incoming.is_body_too_large || incoming.is_body_truncated;
        answer.closes_connection = answer.closes_connection || is_unread ||
                                   m_open_connections > m_options.max_kept_alive_connections;
        write(connection, answer);
        return answer.status;
    }

    response handle(const request& incoming) const
    {
        try {
            return m_on_request(incoming);
        } catch (const std::exception& error) {
            return text_response(internal_error,
                                 fmt::format("the request could not be handled: {}", error.what()));
        }
    }

    /// Whether the body arrives more slowly than a client on a poor line would send it.
    [[nodiscard]] bool is_body_overdue(time_point started_at, std::size_t received_bytes) const
    {
        const milliseconds allowed{m_options.body_timeout_ms +
                                   1000 * received_bytes / m_options.body_bytes_per_second};
        return millisecond_clock::now() - started_at >= allowed;
    }

    void read_body(mg_connection* connection, const mg_request_info& info, request& incoming) const
    {
        if (info.content_length > static_cast<long long>(m_options.max_body_bytes)) {
            incoming.is_body_too_large = true;
            return;
        }
        const time_point started_at = millisecond_clock::now();
        std::array<char, read_bytes> buffer{};
        for (;;) {
            const int count = mg_read(connection, buffer.data(), buffer.size());
            if (count < 0) {
                incoming.body.clear();
                incoming.is_body_truncated = true;
                return;
            }
            if (count == 0) {
                break;
            }
            incoming.body.append(buffer.data(), static_cast<std::size_t>(count));
            if (incoming.body.size() > m_options.max_body_bytes) {
                incoming.body.clear();
                incoming.is_body_too_large = true;
                return;
            }
            if (is_body_overdue(started_at, incoming.body.size())) {
                incoming.body.clear();
                incoming.is_body_truncated = true;
                return;
            }
        }
        const bool is_short =
            info.content_length > 0 && incoming.body.size() < static_cast<std::size_t>(info.content_length);
        if (is_short) {
            incoming.body.clear();
            incoming.is_body_truncated = true;
        }
    }

    static void write(mg_connection* connection, const response& answer)
    {
        if (answer.drops_connection) {
            mg_disable_connection_keep_alive(connection);
            return;
        }
        const bool closes = answer.closes_connection || answer.max_sent_body_bytes < answer.body.size();
        std::string head =
            fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {}\r\n",
                        answer.status, mg_get_response_code_text(connection, answer.status),
                        answer.content_type, answer.body.size(), closes ? "close" : "keep-alive");
        for (const auto& [name, value] : answer.headers) {
            head += fmt::format("{}: {}\r\n", name, value);
        }
        head += "\r\n";
        head.append(answer.body, 0, answer.max_sent_body_bytes);
        if (closes) {
            mg_disable_connection_keep_alive(connection);
        }
        mg_write(connection, head.data(), head.size());
    }

    server_options m_options;
    request_handler m_on_request;
    closed_handler m_on_closed;
    std::atomic<std::uint64_t> m_last_connection{0};
    std::atomic<unsigned> m_open_connections{0};
    mg_context* m_context = nullptr;
};

} // namespace

result<std::unique_ptr<server>> start_server(const server_options& options, request_handler on_request,
                                             closed_handler on_closed)
{
    auto started = std::make_unique<civetweb_server>(options, std::move(on_request), std::move(on_closed));
    if (!started->start()) {
        return fail("listen", fmt::format("{}:{}", options.address, options.port),
                    "cannot listen on this address");
    }
    return std::unique_ptr<server>(std::move(started));
}

} // namespace hickorymount::http
