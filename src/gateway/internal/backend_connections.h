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

/// The connections to backend servers. Each has a thread that waits for its next statement and blocks on
/// its answer; what comes of it is posted as an event.
class backend_connections
{
public:
    using post_function = std::function<void(routing::entry_event_kind)>;

    backend_connections(std::string request_prefix, post_function post);
    backend_connections(const backend_connections&) = delete;
    backend_connections& operator=(const backend_connections&) = delete;
    ~backend_connections();

    void open(const routing::open_connection& order);
    void run(const routing::run_statement& statement);
    void ask(const routing::ask_position& question);
    void close(routing::connection_number connection);

    /// Closes all connections and waits for their threads.
    void stop();

private:
    /// What is shared with one connection's thread.
    struct slot
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<routing::run_statement> statement;
        std::optional<routing::ask_position> question;
        bool is_closing = false;
    };

    [[nodiscard]] std::shared_ptr<slot> find(routing::connection_number connection);
    void serve(const routing::open_connection& order, const std::shared_ptr<slot>& own);
    /// Both return why the connection can't be used any more, or an empty text.
    std::string carry_out(http::client_connection& connection, const routing::run_statement& run);
    std::string carry_out(http::client_connection& connection, const routing::ask_position& question);
    void ended();

    std::string m_request_prefix;
    post_function m_post;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::map<routing::connection_number, std::shared_ptr<slot>> m_slots;
    unsigned m_threads = 0;
};

} // namespace hickorymount::gateway::detail
