#include "gateway/internal/entry_pages.h"

#include "codec/json_codec.h"
#include "routing/descriptions.h"
#include "routing/reduce.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::gateway::detail {

namespace {

using codec::json;

std::string outcome_name(const routing::caller_outcome& outcome)
{
    if (const auto* answer = std::get_if<routing::whole_answer>(&outcome)) {
        const bool is_replica = answer->role == protocol::server_role::replica;
        return is_replica ? R"(outcome="answered",role="replica")" : R"(outcome="answered",role="primary")";
    }
    if (const auto* refused = std::get_if<routing::not_run>(&outcome)) {
        return fmt::format(R"(outcome="not_run",reason="{}")", routing::to_string(refused->reason));
    }
    return R"(outcome="outcome_unknown")";
}

json server_page(const routing::server_state& server, time_point now)
{
    json page = codec::encode(server.report);
    page["heard_ms_ago"] = (now - server.heard_at).count();
    page["share"] = server.connections.share;
    page["idle"] = server.connections.idle.size();
    page["busy"] = server.connections.busy.size();
    page["opening"] = server.connections.opening.size();
    page["closing"] = server.connections.closing.size();
    return page;
}

} // namespace

http::response plain_page(int status, std::string body)
{
    http::response made;
    made.status = status;
    made.body = std::move(body);
    return made;
}

std::string class_labels(const std::string& tenant, const std::string& class_of_request)
{
    return fmt::format(R"(tenant="{}",class="{}")", tenant, class_of_request);
}

void count_outcome(metrics::metric_registry& into, const std::string& labels,
                   const routing::caller_outcome& outcome)
{
    into.count("hickorymount_requests_total", labels + "," + outcome_name(outcome));
}

void set_gauges(metrics::metric_registry& into, const routing::entry_state& state, std::size_t open_calls)
{
    into.set("hickorymount_configuration_version", "", static_cast<double>(state.configuration->version));
    into.set("hickorymount_requests_open", "", static_cast<double>(open_calls));
    into.set("hickorymount_retry_budget", "", static_cast<double>(state.retry_budget));
    into.set("hickorymount_transactions_open", "", static_cast<double>(state.transactions.size()));
    for (const auto& [name, server] : state.servers) {
        const std::string labels = fmt::format(R"(backend_server="{}")", name.value);
        into.set("hickorymount_connections_share", labels, server.connections.share);
        into.set("hickorymount_connections_idle", labels,
                 static_cast<double>(server.connections.idle.size()));
        into.set("hickorymount_connections_busy", labels,
                 static_cast<double>(server.connections.busy.size()));
    }
    for (const auto& [name, group] : state.groups) {
        const std::string labels = fmt::format(R"(group="{}")", name.value);
        into.set("hickorymount_queue_length", labels, static_cast<double>(group.queue.size()));
        into.set("hickorymount_group_term", labels, static_cast<double>(group.record.term));
    }
}

std::string status_page(const routing::entry_state& state, time_point now)
{
    json page = json::object();
    page["name"] = state.self.name.value;
    page["incarnation"] = state.self.incarnation.value;
    page["availability_zone"] = state.zone.value;
    page["leader"] = codec::encode(state.leader);
    page["configuration_version"] = state.configuration->version;
    page["revision"] = state.revision;
    page["lease_ms_left"] = std::max<std::int64_t>(0, (state.lease.valid_until - now).count());
    page["is_ready"] = routing::is_ready(state, now);
    page["requests"] = state.requests.size();
    page["transactions"] = state.transactions.size();
    page["groups"] = json::object();
    for (const auto& [name, group] : state.groups) {
        json entry = codec::encode(group.record);
        entry["queue"] = group.queue.size();
        entry["closed_term"] = group.closed_term;
        page["groups"][name.value] = std::move(entry);
    }
    page["backend_servers"] = json::object();
    for (const auto& [name, server] : state.servers) {
        page["backend_servers"][name.value] = server_page(server, now);
    }
    return page.dump();
}

} // namespace hickorymount::gateway::detail
