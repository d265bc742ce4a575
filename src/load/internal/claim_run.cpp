#include "load/claim_run.h"

#include "link/peer_transport.h"
#include "protocol/message_codec.h"

#include <atomic>
#include <random>
#include <thread>

#include <fmt/format.h>

namespace hickorymount::load {

namespace {

constexpr const char* sender_name = "claims";
constexpr milliseconds claim_retention{60'000};

/// Keeps `claim_options::window` claims outstanding at the leader.
class claim_sender
{
public:
    explicit claim_sender(const claim_options& options) : m_options(options)
    {
        std::random_device random;
        m_run_id = fmt::format("{:08x}", random());
        link::peer_handlers handlers;
        handlers.on_message = [this](const std::string& peer, const std::string& bytes) {
            receive(peer, bytes);
        };
        handlers.on_connected = [this](const std::string& peer) {
            for (int count = 0; count < m_options.window; ++count) {
                send_claim(peer);
            }
        };
        handlers.on_error = [](const std::string&, const std::string&) {};
        m_transport = link::make_websocket_transport(sender_name, std::move(handlers));
    }

    std::uint64_t run()
    {
        int number = 0;
        for (const protocol::endpoint& control : m_options.control_links) {
            m_transport->keep_connected(fmt::format("control-{}", ++number), control.address, control.port);
        }
        m_transport->start();
        std::this_thread::sleep_for(m_options.duration);
        m_transport->stop();
        return m_granted;
    }

private:
    void send_claim(const std::string& peer)
    {
        directory::create_claim claim;
        const std::uint64_t number = ++m_last_claim_number;
        claim.key = {group_name{"claims"}, request_key{fmt::format("{}-{}", m_run_id, number)}};
        claim.holder = {{host_name{sender_name}, incarnation_id{m_run_id}}, number};
        claim.claimed_at = unix_now();
        claim.retention = claim_retention;
        m_transport->send(peer, protocol::encode(protocol::claim_request{number, std::move(claim)}));
    }

    void receive(const std::string& peer, const std::string& bytes)
    {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(message, protocol::decode(bytes, peer));
                const auto* reply = std::get_if<protocol::claim_response>(&message);
                if (reply != nullptr && reply->result.outcome == directory::claim_outcome::granted) {
                    ++m_granted;
                    send_claim(peer);
                }
                return {};
            },
            [](const failure&) {});
    }

    claim_options m_options;
    std::string m_run_id;
    std::uint64_t m_last_claim_number = 0;
    std::atomic<std::uint64_t> m_granted{0};
    std::unique_ptr<link::peer_transport> m_transport;
};

} // namespace

std::uint64_t run_claims(const claim_options& options)
{
    return claim_sender(options).run();
}

} // namespace hickorymount::load
