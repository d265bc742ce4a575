#include "load/path_comparison.h"

#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "http/client.h"
#include "load/history_check.h"

#include <chrono>
#include <vector>

namespace hickorymount::load {

namespace {

constexpr milliseconds call_timeout{5000};

result<double> measure_call_ms(http::client_connection& connection, const std::string& path,
                               const std::string& body, const protocol::endpoint& peer)
{
    const auto started_at = std::chrono::steady_clock::now();
    const http::call_result call = connection.call("POST", path, {}, body, call_timeout);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - started_at;
    if (call.status != http::call_status::answered || call.answer.status != 200) {
        return fail("compare_paths", to_string(peer), call.reason + call.answer.body);
    }
    return elapsed.count();
}

} // namespace

result<path_comparison> compare_paths(const protocol::endpoint& entry, const protocol::endpoint& primary,
                                      const path_options& options)
{
    BOOST_LEAF_AUTO(direct_connection, http::connect(primary.address, primary.port));
    BOOST_LEAF_AUTO(entry_connection, http::connect(entry.address, entry.port));
    BOOST_LEAF_CHECK(measure_call_ms(*direct_connection, "/v1/connections", "", primary));
    const http::call_result status =
        http::call_once(primary.address, primary.port, "GET", "/v1/status", "", call_timeout);
    BOOST_LEAF_AUTO(status_document,
                    codec::parse_json(status.answer.body, codec::caller_input_limits, "primary"));
    BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(status_document, "primary"));
    database::statement_request statement;
    statement.kind = configuration::statement_kind::write;
    statement.text = "put path 1";
    statement.term = report.position.term;
    const std::string direct_body = codec::encode(statement).dump();
    const std::string through_body =
        codec::json{{"class", options.write_class}, {"statement", statement.text}}.dump();
    const std::string through_path = "/v1/groups/" + options.group.value + "/statements";
    std::vector<double> direct_ms;
    std::vector<double> through_ms;
    for (int round = 0; round < options.statement_count; ++round) {
        BOOST_LEAF_AUTO(direct_call_ms,
                        measure_call_ms(*direct_connection, "/v1/statements", direct_body, primary));
        BOOST_LEAF_AUTO(through_call_ms,
                        measure_call_ms(*entry_connection, through_path, through_body, entry));
        direct_ms.push_back(direct_call_ms);
        through_ms.push_back(through_call_ms);
    }
    return path_comparison{distribution_of(std::move(direct_ms)), distribution_of(std::move(through_ms))};
}

} // namespace hickorymount::load
