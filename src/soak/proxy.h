#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"

#include <array>
#include <cstdint>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// A port on loopback that passes connections on to another, and can hold them up.
class proxy
{
public:
    proxy(boost::asio::io_context& context, std::uint16_t port, std::uint16_t target);
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    ~proxy();

    result<void> start();
    void stop();

    /// Nothing passes in these directions for this long; connections stay open.
    void hold(bool towards_target, bool towards_caller, milliseconds duration);
    /// Everything takes this much longer, for this long.
    void delay(milliseconds by, milliseconds duration);
    /// Ends the connections that are open.
    void reset();

private:
    struct stream;
    struct pair;

    void accept();
    void read(const std::shared_ptr<pair>& of, bool towards_target);
    void write(const std::shared_ptr<pair>& of, bool towards_target, std::size_t count);
    void end(const std::shared_ptr<pair>& of);
    [[nodiscard]] milliseconds wait_for(bool towards_target) const;

    boost::asio::io_context& m_context;
    std::uint16_t m_port;
    std::uint16_t m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<pair>> m_pairs;
    /// Towards the caller, and towards the target.
    std::array<time_point, 2> m_held_until{};
    milliseconds m_delay{0};
    time_point m_delayed_until{};
};

} // namespace hickorymount::soak
