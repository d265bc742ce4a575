#include "operations/control_client.h"

#include "codec/json_codec.h"
#include "gateway/primary_switch_request.h"
#include "http/client.h"
#include "supervision/descriptions.h"

#include <chrono>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::operations {

namespace {

constexpr milliseconds call_timeout{10'000};
constexpr milliseconds leader_timeout{8000};
constexpr milliseconds retry_pause{100};
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

template <class T>
result<T> decode_response(const std::string& body)
{
    BOOST_LEAF_AUTO(document, codec::parse_json(body, codec::peer_input_limits, "control"));
    return codec::decode<T>(document, "control");
}

bool is_leader_response(const http::call_result& call)
{
    if (call.answer.status != status_ok) {
        return false;
    }
    const codec::json document = codec::json::parse(call.answer.body, nullptr, false);
    return document.is_object() && document.value("is_leader", true);
}

} // namespace

control_client::control_client(std::vector<protocol::endpoint> control_hosts)
    : m_control_hosts(std::move(control_hosts))
{
}

result<consensus::membership> control_client::form_cluster() const
{
    consensus::membership members;
    for (const protocol::endpoint& host : m_control_hosts) {
        const http::call_result call =
            http::call_once(host.address, host.port, "GET", "/v1/identity", "", call_timeout);
        if (call.status != http::call_status::answered) {
            return fail("form", to_string(host), call.reason);
        }
        BOOST_LEAF_AUTO(member, decode_response<consensus::member>(call.answer.body));
        members.voters.push_back(std::move(member));
    }
    const std::string body = codec::encode(members).dump();
    for (const protocol::endpoint& host : m_control_hosts) {
        const http::call_result call =
            http::call_once(host.address, host.port, "POST", "/v1/form", body, call_timeout);
        if (call.status != http::call_status::answered || call.answer.status != status_ok) {
            return fail("form", to_string(host), call.reason + call.answer.body);
        }
    }
    BOOST_LEAF_CHECK(status());
    return members;
}

result<supervision::status_summary> control_client::status() const
{
    BOOST_LEAF_AUTO(body, request_from_leader("GET", "/v1/status", ""));
    return decode_response<supervision::status_summary>(body);
}

result<configuration::versioned_configuration> control_client::configuration() const
{
    BOOST_LEAF_AUTO(body, request_from_leader("GET", "/v1/configuration", ""));
    return decode_response<configuration::versioned_configuration>(body);
}

result<supervision::configuration_change_response>
control_client::change_configuration(const directory::change_configuration& change) const
{
    BOOST_LEAF_AUTO(body, request_from_leader("POST", "/v1/configuration", codec::encode(change).dump()));
    return decode_response<supervision::configuration_change_response>(body);
}

result<supervision::primary_switch_response>
control_client::change_primary(const group_name& group, const backend_server_name& target) const
{
    const gateway::primary_switch_request order{group, target};
    BOOST_LEAF_AUTO(body, request_from_leader("POST", "/v1/switch", codec::encode(order).dump()));
    return decode_response<supervision::primary_switch_response>(body);
}

result<std::string> control_client::request_from_leader(const std::string& method, const std::string& path,
                                                        const std::string& body) const
{
    const time_point give_up_at = millisecond_clock::now() + leader_timeout;
    std::string last_error = "no control host is known";
    do {
        for (const protocol::endpoint& host : m_control_hosts) {
            const http::call_result call =
                http::call_once(host.address, host.port, method, path, body, call_timeout);
            const bool is_final = call.status == http::call_status::answered &&
                                  (is_leader_response(call) || call.answer.status == status_conflict);
            if (is_final) {
                return call.answer.body;
            }
            if (call.status == http::call_status::answered && call.answer.status == 400) {
                return fail("ask", to_string(host), call.answer.body);
            }
            last_error = to_string(host) + ": " + call.reason + call.answer.body;
        }
        std::this_thread::sleep_for(retry_pause);
    } while (millisecond_clock::now() < give_up_at);
    return fail("ask", "control", "no leader answered; last: " + last_error);
}

result<std::vector<protocol::endpoint>> parse_endpoints(std::string text)
{
    std::vector<protocol::endpoint> parsed;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const auto address = protocol::parse_endpoint(text.substr(0, end));
        if (!address) {
            return fail("command_line", text.substr(0, end), "expected an IP number and port");
        }
        parsed.push_back(*address);
        text.erase(0, end + 1);
    }
    if (parsed.empty()) {
        return fail("command_line", "", "expected at least one address:port");
    }
    return parsed;
}

} // namespace hickorymount::operations
