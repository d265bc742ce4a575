#pragma once

#include "http/client.h"
#include "protocol/types.h"
#include "routing/types.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace hickorymount::gateway::detail {

/// The HTTP connections to backend servers. Each has a thread that waits for the next statement, blocks on
/// its response and posts the result as an event.
class backend_connections
{
public:
    using post_function = std::function<void(routing::entry_event_payload)>;

    backend_connections(std::string request_prefix, post_function post_event);
    backend_connections(const backend_connections&) = delete;
    backend_connections& operator=(const backend_connections&) = delete;
    ~backend_connections();

    void open(const routing::open_connection& order);
    void run(const routing::run_statement& statement);
    void request_position(const routing::request_position& position_request);
    void close(routing::connection_number connection);

    /// Closes all connections and waits for their threads.
    void stop();

private:
    /// Work for one connection's thread, shared between this class and the thread.
    struct pending_work
    {
        std::mutex mutex;
        std::condition_variable work_added;
        std::optional<routing::run_statement> statement;
        std::optional<routing::request_position> position_request;
        bool is_closing = false;
    };

    [[nodiscard]] std::shared_ptr<pending_work> find(routing::connection_number connection);
    void run_connection(const routing::open_connection& order, const std::shared_ptr<pending_work>& pending);
    /// Both return an empty text, or the reason why the connection cannot be used any more.
    std::string execute(http::client_connection& connection, const routing::run_statement& run);
    std::string execute(http::client_connection& connection,
                        const routing::request_position& position_request);
    void end_thread();

    std::string m_request_prefix;
    post_function m_post_event;
    std::mutex m_mutex;
    std::condition_variable m_thread_ended;
    std::map<routing::connection_number, std::shared_ptr<pending_work>> m_pending;
    unsigned m_thread_count = 0;
};

} // namespace hickorymount::gateway::detail
