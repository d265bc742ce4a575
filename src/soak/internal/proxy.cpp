#include "soak/proxy.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/write.hpp>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t block_bytes = std::size_t{16} << 10;

} // namespace

/// What is read from one end and written to the other.
struct proxy::stream
{
    explicit stream(asio::io_context& context) : timer(context) {}

    std::array<char, block_bytes> block{};
    asio::steady_timer timer;
};

struct proxy::pair
{
    pair(asio::io_context& context, tcp::socket accepted)
        : caller(std::move(accepted)), target(context), streams{stream(context), stream(context)}
    {
    }

    tcp::socket caller;
    tcp::socket target;
    /// Towards the caller, and towards the target.
    std::array<stream, 2> streams;
};

proxy::proxy(asio::io_context& context, std::uint16_t port, std::uint16_t target)
    : m_context(context), m_port(port), m_target(target), m_acceptor(context)
{
}

proxy::~proxy() = default;

result<void> proxy::start()
{
    boost::system::error_code problem;
    const tcp::endpoint at(asio::ip::address_v4::loopback(), m_port);
    m_acceptor.open(at.protocol(), problem);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    m_acceptor.bind(at, problem);
    if (!problem) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, problem);
    }
    if (problem) {
        return fail("listen", std::to_string(m_port), problem.message());
    }
    accept();
    return {};
}

void proxy::stop()
{
    m_acceptor.close();
    reset();
}

void proxy::hold(bool towards_target, bool towards_caller, milliseconds duration)
{
    const time_point until = millisecond_clock::now() + duration;
    if (towards_caller) {
        m_held_until[0] = std::max(m_held_until[0], until);
    }
    if (towards_target) {
        m_held_until[1] = std::max(m_held_until[1], until);
    }
}

void proxy::delay(milliseconds by, milliseconds duration)
{
    m_delay = by;
    m_delayed_until = millisecond_clock::now() + duration;
}

void proxy::reset()
{
    for (const auto& each : std::exchange(m_pairs, {})) {
        boost::system::error_code ignored;
        each->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        each->target.set_option(asio::socket_base::linger(true, 0), ignored);
        each->caller.close(ignored);
        each->target.close(ignored);
        each->streams[0].timer.cancel();
        each->streams[1].timer.cancel();
    }
}

void proxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& problem, tcp::socket socket) {
        if (problem) {
            return;
        }
        auto made = std::make_shared<pair>(m_context, std::move(socket));
        m_pairs.push_back(made);
        made->target.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), m_target),
                                   [this, made](const boost::system::error_code& refused) {
                                       if (refused) {
                                           end(made);
                                           return;
                                       }
                                       read(made, true);
                                       read(made, false);
                                   });
        accept();
    });
}

milliseconds proxy::wait_for(bool towards_target) const
{
    const time_point now = millisecond_clock::now();
    const milliseconds held = m_held_until[towards_target ? 1 : 0] - now;
    const milliseconds delayed = now < m_delayed_until ? m_delay : milliseconds{0};
    return std::max({held, delayed, milliseconds{0}});
}

void proxy::read(const std::shared_ptr<pair>& of, bool towards_target)
{
    tcp::socket& from = towards_target ? of->caller : of->target;
    stream& passing = of->streams[towards_target ? 1 : 0];
    from.async_read_some(asio::buffer(passing.block), [this, of, towards_target,
                                                       &passing](const boost::system::error_code& problem,
                                                                 std::size_t count) {
        if (problem) {
            end(of);
            return;
        }
        const milliseconds wait = wait_for(towards_target);
        if (wait == milliseconds{0}) {
            write(of, towards_target, count);
            return;
        }
        passing.timer.expires_after(wait);
        passing.timer.async_wait([this, of, towards_target, count](const boost::system::error_code& ended) {
            if (!ended) {
                write(of, towards_target, count);
            }
        });
    });
}

void proxy::write(const std::shared_ptr<pair>& of, bool towards_target, std::size_t count)
{
    tcp::socket& to = towards_target ? of->target : of->caller;
    asio::async_write(to, asio::buffer(of->streams[towards_target ? 1 : 0].block, count),
                      [this, of, towards_target](const boost::system::error_code& problem, std::size_t) {
                          if (problem) {
                              end(of);
                              return;
                          }
                          read(of, towards_target);
                      });
}

void proxy::end(const std::shared_ptr<pair>& of)
{
    boost::system::error_code ignored;
    of->caller.close(ignored);
    of->target.close(ignored);
    m_pairs.remove(of);
}

} // namespace hickorymount::soak
