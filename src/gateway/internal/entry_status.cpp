#include "gateway/internal/entry_status.h"

#include "codec/json_codec.h"
#include "metrics/labels.h"
#include "routing/descriptions.h"
#include "routing/reduce.h"

#include <algorithm>
#include <utility>

namespace hickorymount::gateway::detail {

namespace {

using codec::json;

std::string outcome_labels(const routing::caller_outcome& outcome)
{
    if (const auto* answer = std::get_if<routing::caller_response>(&outcome)) {
        const bool is_replica = answer->role == protocol::server_role::replica;
        return is_replica ? R"(outcome="answered",role="replica")" : R"(outcome="answered",role="primary")";
    }
    if (const auto* refused = std::get_if<routing::not_run>(&outcome)) {
        return metrics::labels({{"outcome", "not_run"}, {"reason", routing::to_string(refused->reason)}});
    }
    return R"(outcome="outcome_unknown")";
}

json server_document(const routing::server_state& server, time_point now)
{
    json document = codec::encode(server.report);
    document["heard_ms_ago"] = (now - server.last_report_at).count();
    document["share"] = server.connections.share;
    document["idle"] = server.connections.idle.size();
    document["busy"] = server.connections.busy.size();
    document["opening"] = server.connections.opening.size();
    document["closing"] = server.connections.closing.size();
    return document;
}

} // namespace

http::response make_response(int status, std::string body)
{
    http::response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

std::string class_labels(const configuration::configuration& content, const class_name& request_class)
{
    const bool is_known = content.classes.contains(request_class);
    return metrics::labels(
        {{"tenant", content.tenant.value}, {"class", is_known ? request_class.value : "unknown"}});
}

void count_outcome(metrics::metric_registry& registry, const std::string& labels,
                   const routing::caller_outcome& outcome)
{
    registry.count("hickorymount_requests_total", labels + "," + outcome_labels(outcome));
}

void set_gauges(metrics::metric_registry& registry, const routing::entry_state& state,
                std::size_t open_requests)
{
    registry.set("hickorymount_configuration_version", "", static_cast<double>(state.configuration->version));
    registry.set("hickorymount_requests_open", "", static_cast<double>(open_requests));
    registry.set("hickorymount_leases_refused_for_old_view", "",
                 static_cast<double>(state.lease.grants_without_view));
    registry.set("hickorymount_retry_budget", "", static_cast<double>(state.retry_budget));
    registry.set("hickorymount_transactions_open", "", static_cast<double>(state.transactions.size()));
    for (const auto& [name, server] : state.servers) {
        const std::string labels = metrics::labels({{"backend_server", name.value}});
        registry.set("hickorymount_connections_share", labels, server.connections.share);
        registry.set("hickorymount_connections_idle", labels,
                     static_cast<double>(server.connections.idle.size()));
        registry.set("hickorymount_connections_busy", labels,
                     static_cast<double>(server.connections.busy.size()));
    }
    for (const auto& [name, group] : state.groups) {
        const std::string labels = metrics::labels({{"group", name.value}});
        registry.set("hickorymount_queue_length", labels, static_cast<double>(group.queue.size()));
        registry.set("hickorymount_group_term", labels, static_cast<double>(group.record.term));
    }
}

std::string status_document(const routing::entry_state& state, time_point now)
{
    json document = json::object();
    document["name"] = state.self.name.value;
    document["incarnation"] = state.self.incarnation.value;
    document["availability_zone"] = state.zone.value;
    document["leader"] = codec::encode(state.leader);
    document["configuration_version"] = state.configuration->version;
    document["revision"] = state.revision;
    document["lease_ms_left"] = std::max<std::int64_t>(0, (state.lease.valid_until - now).count());
    document["is_ready"] = routing::is_ready(state, now);
    document["requests"] = state.requests.size();
    document["transactions"] = state.transactions.size();
    document["groups"] = json::object();
    for (const auto& [name, group] : state.groups) {
        json group_document = codec::encode(group.record);
        group_document["queue"] = group.queue.size();
        group_document["closed_term"] = group.closed_term;
        document["groups"][name.value] = std::move(group_document);
    }
    document["backend_servers"] = json::object();
    for (const auto& [name, server] : state.servers) {
        document["backend_servers"][name.value] = server_document(server, now);
    }
    return codec::to_text(document);
}

} // namespace hickorymount::gateway::detail
