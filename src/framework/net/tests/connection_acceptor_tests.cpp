#include "net/connection_acceptor.h"

#include <optional>
#include <vector>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace hickorymount::net {

using tcp = boost::asio::ip::tcp;

class connection_acceptor_fixture : public testing::Test
{
protected:
    connection_acceptor_fixture()
    {
        EXPECT_FALSE(m_acceptor.listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)));
        m_acceptor.start();
    }

    /// Leaves the process no further descriptor.
    void use_all_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_allowed);
        const int next = ::dup(STDOUT_FILENO);
        ::close(next);
        const rlimit lowered{static_cast<rlim_t>(next), m_allowed.rlim_max};
        ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    }

    void allow_descriptors() const { ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &m_allowed), 0); }

    void run(std::chrono::milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_accepted;
    int m_errors = 0;
    connection_acceptor m_acceptor{m_context,
                                   {[this](tcp::socket socket) { m_accepted.push_back(std::move(socket)); },
                                    [this](const std::string& /*reason*/) { ++m_errors; }}};
    rlimit m_allowed{};
};

/// Guards against an acceptor that spins, or stops for good, or leaves connections in the backlog when the
/// process has no descriptor left.
TEST_F(connection_acceptor_fixture, connections_are_refused_without_descriptors_and_accepted_afterwards)
{
    tcp::socket refused(m_context);
    tcp::socket accepted(m_context);
    refused.open(tcp::v4());
    accepted.open(tcp::v4());
    use_all_descriptors();
    refused.connect(m_acceptor.local_address());
    run(std::chrono::milliseconds(250));
    allow_descriptors();
    EXPECT_TRUE(m_accepted.empty());
    EXPECT_GE(m_errors, 1);
    EXPECT_LE(m_errors, 5);
    char byte = 0;
    boost::system::error_code error;
    refused.read_some(boost::asio::buffer(&byte, 1), error);
    EXPECT_EQ(error, boost::asio::error::eof);
    accepted.connect(m_acceptor.local_address());
    run(std::chrono::milliseconds(250));
    EXPECT_EQ(m_accepted.size(), 1U);
}

} // namespace hickorymount::net
