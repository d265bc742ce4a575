#include "routing/internal/request_processor.h"

#include "routing/internal/read_candidates.h"
#include "routing/internal/request_key.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::routing::detail {

/// Backoff after a backend server refused the term of a statement. A change of primary is then under way, and
/// statements in flight when it happens end with an unknown outcome.
static constexpr milliseconds other_term_pause{250};

namespace {

using configuration::acknowledgement_level;
using configuration::statement_kind;
using directory::claim_outcome;
using directory::group_phase;
using protocol::server_role;

bool is_write(const request_state& request)
{
    return request.settings.kind == statement_kind::write || request.input.operation != operation_kind::run ||
           request.input.transaction.has_value();
}

} // namespace

request_processor::request_processor(event_context& context, connection_pools& connections)
    : m_context(context), m_connections(connections)
{
}

void request_processor::handle(const caller_request& input)
{
    request_state request;
    request.input = input;
    request.received_at = m_context.now;
    m_context.state.retry_budget = std::min(max_retry_budget, m_context.state.retry_budget + 1);
    const auto& configuration = m_context.state.configuration->content;
    if (m_context.state.is_draining && !input.transaction) {
        refuse(request, refusal_reason::draining, "admit", "", "this entry host is stopping");
        return;
    }
    if (m_context.state.configuration->version == 0) {
        refuse(request, refusal_reason::not_ready, "admit", "", "no configuration yet");
        return;
    }
    if (!configuration.groups.contains(input.group)) {
        refuse(request, refusal_reason::unknown_group, "admit", "",
               "unknown group '" + input.group.value + "'");
        return;
    }
    const auto settings = configuration.classes.find(input.request_class);
    if (settings == configuration.classes.end()) {
        refuse(request, refusal_reason::unknown_class, "admit", "",
               "unknown class '" + input.request_class.value + "'");
        return;
    }
    request.settings = settings->second;
    const milliseconds limit = request.settings.deadline;
    if (input.timeout < milliseconds{0}) {
        refuse(request, refusal_reason::deadline_passed, "admit", "", "the deadline had passed on arrival");
        return;
    }
    request.deadline =
        m_context.now + (input.timeout > milliseconds{0} ? std::min(input.timeout, limit) : limit);
    if (input.transaction) {
        admit_transaction_statement(std::move(request));
        return;
    }
    admit(std::move(request));
}

void request_processor::admit(request_state request)
{
    const bool is_transaction = request.input.operation != operation_kind::run;
    if (is_transaction && (request.settings.kind == statement_kind::read || !request.settings.repeatable)) {
        refuse(request, refusal_reason::class_not_allowed, "admit", "",
               "transactions take a class of kind write with repeat allowed");
        return;
    }
    if (!check_key(request) || !check_token(request)) {
        return;
    }
    if (request.settings.repeatable) {
        enqueue(std::move(request));
        return;
    }
    request.stage = request_stage::claiming;
    request.claim_call_number = m_context.next_number();
    m_context.state.pending_claims =
        std::move(m_context.state.pending_claims).set(request.claim_call_number, request.input.request);
    m_context.set_timer({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    m_context.set_request(request);
    send_claim(request);
}

bool request_processor::check_key(request_state& request)
{
    const auto& key = request.input.key;
    if (request.settings.repeatable && key) {
        refuse(request, refusal_reason::key_not_allowed, "admit", "",
               "the class may be repeated and takes no request key");
        return false;
    }
    if (request.settings.repeatable) {
        return true;
    }
    if (!key) {
        refuse(request, refusal_reason::key_missing, "admit", "",
               "the class must not repeat and needs a request key");
        return false;
    }
    const auto made_at = key_time(*key);
    if (!made_at || *made_at > m_context.wall_time + key_clock_tolerance) {
        refuse(request, refusal_reason::key_malformed, "admit", "",
               "expected a request key '<Unix seconds>-<text>'");
        return false;
    }
    if (m_context.wall_time - *made_at > request.settings.key_retention) {
        refuse(request, refusal_reason::key_too_old, "admit", "",
               "the key is older than its class's key_retention");
        return false;
    }
    return true;
}

bool request_processor::check_token(const request_state& request)
{
    const group_state* group = m_context.state.groups.find(request.input.group);
    const session_token::group_position seen = required_position(request);
    if (group == nullptr || seen.term == 0 || session_token::is_retained(seen, group->record.term_starts)) {
        return true;
    }
    const session_token::term_start& start = group->record.term_starts.back();
    session_token::token token = request.input.token;
    token.positions[request.input.group] = {start.term, start.position};
    refuse(request, refusal_reason::session_position_lost, "admit", group->record.primary.value,
           "a write of this session was lost in a change of primary", std::move(token));
    return false;
}

void request_processor::send_claim(const request_state& request)
{
    directory::create_claim claim;
    claim.key = {request.input.group, *request.input.key};
    claim.holder = {m_context.state.self, request.input.request};
    claim.statement_hash = statement_hash(request.input);
    claim.claimed_at = m_context.wall_time;
    claim.retention = request.settings.key_retention + key_clock_tolerance;
    m_context.send_to_leader(protocol::claim_request{request.claim_call_number, std::move(claim)});
    m_context.set_timer(
        {m_context.now + claim_resend_interval, timer_kind::claim_resend, request.input.request, {}, {}});
}

void request_processor::handle(const protocol::claim_response& reply)
{
    if (m_context.state.pending_claim_updates.contains(reply.call_id)) {
        m_context.state.pending_claim_updates =
            std::move(m_context.state.pending_claim_updates).erase(reply.call_id);
        return;
    }
    const request_number* claimed = m_context.state.pending_claims.find(reply.call_id);
    const request_state* current = claimed == nullptr ? nullptr : m_context.state.requests.find(*claimed);
    if (current == nullptr || current->stage != request_stage::claiming) {
        return;
    }
    request_state request = *current;
    m_context.state.pending_claims = std::move(m_context.state.pending_claims).erase(reply.call_id);
    switch (reply.result.outcome) {
    case claim_outcome::granted:
        request.is_claimed = true;
        enqueue(std::move(request));
        return;
    case claim_outcome::answered: {
        const group_state* group = m_context.state.groups.find(request.input.group);
        const session_token::group_position at = reply.result.answer->position;
        if (group != nullptr && !session_token::is_retained(at, group->record.term_starts)) {
            report_outcome_unknown(request, "claim", group->record.primary.value,
                                   "the key's write was acknowledged, and lost in a change of primary");
            return;
        }
        caller_response answer;
        answer.body = reply.result.answer->body;
        answer.token = session_token::with_raised_position(request.input.token, request.input.group, at);
        answer.is_repeated = true;
        complete(request, std::move(answer));
        return;
    }
    case claim_outcome::outcome_unknown:
        report_outcome_unknown(request, "claim", "",
                               "the key was used before, and that request's outcome is not known");
        return;
    case claim_outcome::key_reused:
        refuse(request, refusal_reason::key_reused, "claim", "", "the key belongs to another statement");
        return;
    }
}

void request_processor::admit_transaction_statement(request_state request)
{
    const transaction_id& id = *request.input.transaction;
    const transaction_state* current = m_context.state.transactions.find(id);
    const std::string own_prefix =
        m_context.state.self.name.value + "." + m_context.state.self.incarnation.value + ".";
    if (current == nullptr && id.value.rfind(own_prefix, 0) != 0) {
        const std::string holder = id.value.substr(0, id.value.find('.'));
        refuse(request, refusal_reason::transaction_elsewhere, "admit", holder,
               "the transaction is bound to another entry host or an earlier run of this one");
        return;
    }
    if (current == nullptr || current->group != request.input.group) {
        refuse(request, refusal_reason::transaction_ended, "admit", "",
               "the transaction has ended without a commit");
        return;
    }
    if (current->is_busy) {
        refuse(request, refusal_reason::transaction_busy, "admit", "",
               "the transaction's last statement is still running");
        return;
    }
    if (request.settings.kind == statement_kind::write && !request.settings.repeatable) {
        refuse(request, refusal_reason::class_not_allowed, "admit", "",
               "a class that must not repeat takes no transaction");
        return;
    }
    transaction_state transaction = *current;
    transaction.is_busy = true;
    transaction.last_used = m_context.now;
    request.term = transaction.term;
    m_context.set_timer({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    m_context.state.transactions = std::move(m_context.state.transactions).set(id, transaction);
    start(std::move(request), transaction.server, transaction.connection);
}

void request_processor::enqueue(request_state request)
{
    const std::pair key(request.input.group, request.input.request_class);
    const std::uint32_t* queued = m_context.state.queued_counts.find(key);
    const std::uint32_t count = queued == nullptr ? 0 : *queued;
    request.stage = request_stage::queued;
    if (request.attempts == 0 && !request.is_claimed) {
        m_context.set_timer({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    }
    const group_state* current = m_context.state.groups.find(request.input.group);
    group_state group = current == nullptr ? group_state{} : *current;
    if (group.queue.empty() && try_start(request)) {
        return;
    }
    if (lacks_connections(request)) {
        refuse(request, refusal_reason::no_connection_granted, "queue", "",
               "all connections are granted to other entry hosts");
        return;
    }
    if (count >= request.settings.queue_limit) {
        refuse(request, refusal_reason::queue_full, "queue", "", "too many requests of the class wait");
        return;
    }
    m_context.state.queued_counts = std::move(m_context.state.queued_counts).set(key, count + 1);
    group.queue.push_back(request.input.request);
    const group_name name = request.input.group;
    m_context.set_group(name, std::move(group));
    m_context.set_request(std::move(request));
    dispatch(name);
}

void request_processor::remove_from_queue(const request_state& request)
{
    const std::pair key(request.input.group, request.input.request_class);
    const std::uint32_t* queued = m_context.state.queued_counts.find(key);
    if (queued != nullptr && *queued > 0) {
        m_context.state.queued_counts = std::move(m_context.state.queued_counts).set(key, *queued - 1);
    }
    group_state group = *m_context.state.groups.find(request.input.group);
    std::erase(group.queue, request.input.request);
    m_context.set_group(request.input.group, std::move(group));
}

/// True if control has granted every connection that could run the request to other entry hosts, for at least
/// `share_wait_limit`. Without a lease the shares are unknown.
bool request_processor::lacks_connections(const request_state& request) const
{
    const group_state* group = m_context.state.groups.find(request.input.group);
    if (group == nullptr || !m_context.has_lease() || request.may_have_run) {
        return false;
    }
    bool is_any_known = false;
    for (const backend_server_name& member : group->members) {
        const server_state* server = m_context.state.servers.find(member);
        const bool can_run = server != nullptr && (!is_write(request) || member == group->record.primary);
        if (!can_run) {
            continue;
        }
        is_any_known = true;
        const auto& since = server->connections.no_share_since;
        if (!since || m_context.now - *since < share_wait_limit) {
            return false;
        }
    }
    return is_any_known;
}

void request_processor::refuse_requests_without_connections()
{
    std::vector<request_number> queued;
    for (const auto& [name, group] : m_context.state.groups) {
        queued.insert(queued.end(), group.queue.begin(), group.queue.end());
    }
    for (const request_number number : queued) {
        const request_state* request = m_context.state.requests.find(number);
        if (request == nullptr || request->stage != request_stage::queued || !lacks_connections(*request)) {
            continue;
        }
        const request_state refused = *request;
        refuse(refused, refusal_reason::no_connection_granted, "queue", "",
               "all connections are granted to other entry hosts");
    }
}

void request_processor::dispatch(const group_name& group)
{
    const group_state* current = m_context.state.groups.find(group);
    if (current == nullptr || current->queue.empty()) {
        return;
    }
    const std::vector<request_number> queue = current->queue;
    for (const request_number number : queue) {
        const group_state& present = *m_context.state.groups.find(group);
        const bool has_free_connection =
            std::any_of(present.members.begin(), present.members.end(), [&](const auto& member) {
                const server_state* server = m_context.state.servers.find(member);
                return server != nullptr && !server->connections.idle.empty();
            });
        if (!has_free_connection) {
            return;
        }
        const request_state* request = m_context.state.requests.find(number);
        if (request == nullptr || request->stage != request_stage::queued) {
            continue;
        }
        const request_state queued = *request;
        if (!check_token(queued)) {
            continue;
        }
        if (try_start(queued)) {
            remove_from_queue(queued);
        }
    }
}

bool request_processor::try_start(const request_state& request)
{
    const group_state* group = m_context.state.groups.find(request.input.group);
    if (group == nullptr || required_position(request).term > group->record.term) {
        return false;
    }
    return is_write(request) ? try_start_write(request, *group) : try_start_read(request, *group);
}

bool request_processor::try_start_write(const request_state& request, const group_state& group)
{
    const server_state* primary = m_context.state.servers.find(group.record.primary);
    const bool may_write = m_context.is_term_usable(group) && group.held_term < group.record.term;
    if (!may_write || primary == nullptr || m_context.now < primary->avoid_until) {
        return false;
    }
    const backend_server_name server = group.record.primary;
    const auto connection = m_connections.acquire(server);
    if (!connection) {
        return false;
    }
    request_state started = request;
    started.term = group.record.term;
    start(std::move(started), server, *connection);
    return true;
}

bool request_processor::try_start_read(const request_state& request, const group_state& group)
{
    const std::vector<read_candidate> current = read_candidates(m_context, request, group);
    const read_choice choice = m_context.policy.choose(current);
    if (!choice.candidate) {
        return false;
    }
    const backend_server_name server = current[*choice.candidate].name;
    const auto connection = m_connections.acquire(server);
    if (!connection) {
        return false;
    }
    request_state started = request;
    started.term = group.record.term;
    start(std::move(started), server, *connection);
    return true;
}

void request_processor::start(request_state request, const backend_server_name& server,
                              connection_number connection)
{
    request.stage = request_stage::running;
    request.server = server;
    request.connection = connection;
    request.sent_at = m_context.now;
    ++request.attempts;
    run_statement run;
    run.request = request.input.request;
    run.server = server;
    run.connection = connection;
    run.operation = request.input.operation;
    run.kind = request.settings.kind;
    run.is_in_transaction = request.input.transaction.has_value();
    run.statement = request.input.statement;
    run.term = request.term;
    run.minimum_position = is_write(request) ? 0 : required_position(request).position;
    run.timeout = std::min(max_statement_timeout, request.deadline - m_context.now);
    m_context.effects.emplace_back(std::move(run));
    m_context.set_timer({m_context.now + slow_statement_threshold,
                         timer_kind::slow_statement,
                         request.input.request,
                         {},
                         {}});
    m_context.set_request(std::move(request));
}

const request_state* request_processor::find_running_request(request_number number,
                                                             connection_number connection) const
{
    const request_state* current = m_context.state.requests.find(number);
    const bool is_awaited =
        current != nullptr && current->stage == request_stage::running && current->connection == connection;
    return is_awaited ? current : nullptr;
}

void request_processor::handle(const statement_completed& event)
{
    const request_state* current = find_running_request(event.request, event.connection);
    if (current == nullptr) {
        return;
    }
    request_state request = *current;
    if (const server_state* server = m_context.state.servers.find(request.server);
        server != nullptr && event.position > server->report.position) {
        server_state next = *server;
        next.report.position = event.position;
        m_context.set_server(request.server, std::move(next));
    }
    if (request.input.transaction || request.input.operation == operation_kind::begin) {
        handle_transaction_result(std::move(request), event);
        return;
    }
    release_connection(request, event.connection);
    if (is_write(request)) {
        handle_write_result(std::move(request), event);
    } else {
        handle_read_result(std::move(request), event);
    }
}

void request_processor::handle_read_result(request_state request, const statement_completed& event)
{
    const group_state& group = *m_context.state.groups.find(request.input.group);
    const bool is_primary = request.server == group.record.primary;
    const session_token::group_position needed = required_position(request);
    // The reported age dates from after `sent_at`, so the sum is an upper limit.
    const milliseconds age = event.data_age + (m_context.now - request.sent_at);
    const bool is_within_age_limit =
        !request.settings.max_age || (m_context.has_lease() && age <= *request.settings.max_age);
    const bool is_current =
        event.position.term == group.record.term && (!is_primary || m_context.is_term_usable(group));
    if (!is_current || event.position.position < needed.position || !is_within_age_limit) {
        request.lagging_servers.insert(request.server);
        retry_after_send(std::move(request), "read", "the answer was behind the session or too old");
        return;
    }
    caller_response answer;
    answer.body = event.body;
    answer.token = request.input.token;
    answer.served_by = request.server;
    answer.role = is_primary ? server_role::primary : server_role::replica;
    complete(request, std::move(answer));
}

void request_processor::handle_write_result(request_state request, const statement_completed& event)
{
    const group_state& group = *m_context.state.groups.find(request.input.group);
    const bool is_valid = m_context.is_term_usable(group) && group.record.term == request.term &&
                          event.position.term == request.term;
    if (!is_valid) {
        retry_or_report_unknown(std::move(request), "the term ended before the write could be acknowledged");
        return;
    }
    caller_response answer;
    answer.body = event.body;
    answer.token =
        session_token::with_raised_position(request.input.token, request.input.group, event.position);
    answer.served_by = request.server;
    answer.valid_until = m_context.state.lease.valid_until;
    request.write_position = event.position;
    if (request.settings.acknowledged_by == acknowledgement_level::primary) {
        complete(request, std::move(answer));
        return;
    }
    request.stage = request_stage::replicating;
    request.pending_answer = std::move(answer);
    const group_name name = request.input.group;
    m_context.set_request(std::move(request));
    confirm_replicated(name);
    poll_positions(name);
}

void request_processor::handle_transaction_result(request_state request, const statement_completed& event)
{
    if (request.input.operation == operation_kind::begin) {
        const transaction_id id{fmt::format("{}.{}.{}", m_context.state.self.name.value,
                                            m_context.state.self.incarnation.value, request.input.request)};
        transaction_state opened;
        opened.group = request.input.group;
        opened.request_class = request.input.request_class;
        opened.server = request.server;
        opened.connection = request.connection;
        opened.term = request.term;
        opened.last_used = m_context.now;
        m_context.state.transactions = std::move(m_context.state.transactions).set(id, opened);
        m_context.set_timer(
            {m_context.now + transaction_idle_timeout, timer_kind::transaction_idle, 0, {}, id});
        caller_response answer{
            event.body, request.input.token, request.server, server_role::primary, id, false, {}};
        complete(request, std::move(answer));
        return;
    }
    const transaction_id id = *request.input.transaction;
    const transaction_state* current = m_context.state.transactions.find(id);
    if (request.input.operation == operation_kind::run) {
        if (current != nullptr) {
            transaction_state next = *current;
            next.is_busy = false;
            next.last_used = m_context.now;
            m_context.state.transactions = std::move(m_context.state.transactions).set(id, next);
        }
        caller_response answer{
            event.body, request.input.token, request.server, server_role::primary, id, false, {}};
        complete(request, std::move(answer));
        return;
    }
    m_context.state.transactions = std::move(m_context.state.transactions).erase(id);
    release_connection(request, event.connection);
    if (request.input.operation == operation_kind::rollback) {
        caller_response answer{
            event.body, request.input.token, request.server, server_role::primary, {}, false, {}};
        complete(request, std::move(answer));
        return;
    }
    handle_write_result(std::move(request), event);
}

void request_processor::release_connection(const request_state& request, connection_number connection)
{
    m_connections.release(request.server, connection);
}

void request_processor::handle(const statement_refused& event)
{
    const request_state* current = find_running_request(event.request, event.connection);
    if (current == nullptr) {
        return;
    }
    request_state request = *current;
    if (request.input.transaction) {
        const transaction_id id = *request.input.transaction;
        end_transaction(id);
        refuse(request, refusal_reason::transaction_ended, "statement", request.server.value,
               "the backend server ended the transaction without a commit");
        return;
    }
    release_connection(request, event.connection);
    if (const server_state* server = m_context.state.servers.find(request.server)) {
        server_state next = *server;
        next.report.is_leaving = next.report.is_leaving || event.reason == server_refusal_reason::leaving;
        next.report.position = std::max(next.report.position, event.position);
        const bool is_only_behind = event.reason == server_refusal_reason::behind;
        const bool is_other_term = event.reason == server_refusal_reason::wrong_term ||
                                   event.reason == server_refusal_reason::not_primary;
        const milliseconds pause = is_other_term ? other_term_pause : refusal_backoff;
        next.avoid_until = is_only_behind ? next.avoid_until : m_context.now + pause;
        m_context.set_server(request.server, std::move(next));
    }
    request.lagging_servers.insert(request.server);
    requeue(std::move(request));
}

void request_processor::handle(const statement_not_sent& event)
{
    const request_state* current = find_running_request(event.request, event.connection);
    if (current == nullptr) {
        return;
    }
    request_state request = *current;
    report_suspicion(request, event.reason);
    m_connections.remove(request.server, event.connection);
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
        refuse(request, refusal_reason::transaction_ended, "statement", request.server.value,
               "the connection was lost; the transaction has ended without a commit");
        return;
    }
    requeue(std::move(request));
}

void request_processor::handle(const statement_connection_lost& event)
{
    const request_state* current = find_running_request(event.request, event.connection);
    if (current == nullptr) {
        return;
    }
    request_state request = *current;
    report_suspicion(request, event.reason);
    m_connections.remove(request.server, event.connection);
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
        if (request.input.operation == operation_kind::commit) {
            report_outcome_unknown(request, "commit", request.server.value, event.reason);
            return;
        }
        refuse(request, refusal_reason::transaction_ended, "statement", request.server.value,
               "the connection was lost; the transaction has ended without a commit");
        return;
    }
    if (!is_write(request) || request.input.operation == operation_kind::begin) {
        retry_after_send(std::move(request), "read", event.reason);
        return;
    }
    retry_or_report_unknown(std::move(request), event.reason);
}

void request_processor::end_transaction(const transaction_id& transaction)
{
    const transaction_state* current = m_context.state.transactions.find(transaction);
    if (current == nullptr) {
        return;
    }
    m_connections.close(current->server, current->connection);
    m_context.state.transactions = std::move(m_context.state.transactions).erase(transaction_id{transaction});
}

void request_processor::retry_after_send(request_state request, const std::string& step,
                                         const std::string& detail)
{
    request.may_have_run = true;
    if (request.attempts >= max_attempts || m_context.state.retry_budget < retry_cost) {
        report_outcome_unknown(request, step, request.server.value, detail);
        return;
    }
    m_context.state.retry_budget -= retry_cost;
    requeue(std::move(request));
}

void request_processor::requeue(request_state request)
{
    m_context.set_timer(
        {m_context.now + refusal_backoff, timer_kind::queue_retry, 0, request.input.group, {}});
    enqueue(std::move(request));
}

void request_processor::retry_or_report_unknown(request_state request, const std::string& detail)
{
    const bool may_repeat = request.settings.repeatable && request.input.operation == operation_kind::run &&
                            !request.input.transaction;
    if (!may_repeat) {
        report_outcome_unknown(request, "write", request.server.value, detail);
        return;
    }
    retry_after_send(std::move(request), "write", detail);
}

void request_processor::report_suspicion(const request_state& request, const std::string& reason)
{
    const group_state* current = m_context.state.groups.find(request.input.group);
    const bool is_primary = current != nullptr && current->record.primary == request.server &&
                            current->record.phase == group_phase::open;
    if (!is_primary || m_context.now - current->last_suspicion_report < suspicion_report_interval) {
        return;
    }
    group_state group = *current;
    group.last_suspicion_report = m_context.now;
    m_context.send_to_leader(
        protocol::primary_suspicion{request.input.group, group.record.term, request.server, reason});
    m_context.set_group(request.input.group, std::move(group));
}

void request_processor::confirm_replicated(const group_name& group)
{
    const group_state* found = m_context.state.groups.find(group);
    if (found == nullptr) {
        return;
    }
    const group_state current = *found;
    protocol::log_position replicated = 0;
    for (const backend_server_name& name : current.members) {
        const protocol::server_report& report = m_context.state.servers.find(name)->report;
        if (name != current.record.primary && report.position.term == current.record.term) {
            replicated = std::max(replicated, report.position.position);
        }
    }
    const auto requests = m_context.state.requests;
    for (const auto& [number, request] : requests) {
        const bool is_confirmed = request.input.group == group &&
                                  request.stage == request_stage::replicating &&
                                  request.write_position.position <= replicated;
        if (!is_confirmed) {
            continue;
        }
        if (m_context.is_term_usable(current) && current.record.term == request.term) {
            caller_response answer = *request.pending_answer;
            answer.valid_until = m_context.state.lease.valid_until;
            complete(request, std::move(answer));
        } else {
            retry_or_report_unknown(request, "the term ended before a replica had the write");
        }
    }
}

void request_processor::poll_positions(const group_name& group)
{
    const group_state* found = m_context.state.groups.find(group);
    const auto& requests = m_context.state.requests;
    const bool is_awaited = std::any_of(requests.begin(), requests.end(), [&](const auto& each) {
        return each.second.input.group == group && each.second.stage == request_stage::replicating;
    });
    if (found == nullptr || !is_awaited) {
        return;
    }
    const group_state current = *found;
    for (const backend_server_name& name : current.members) {
        const server_state& server = *m_context.state.servers.find(name);
        const bool may_ask = name != current.record.primary && server.position_query_connection == 0 &&
                             m_context.now - server.last_report_at < report_timeout;
        const auto connection = may_ask ? m_connections.acquire(name) : std::nullopt;
        if (!connection) {
            continue;
        }
        server_state next = *m_context.state.servers.find(name);
        next.position_query_connection = *connection;
        m_context.set_server(name, std::move(next));
        m_context.effects.emplace_back(request_position{name, *connection});
    }
    m_context.set_timer({m_context.now + position_poll_interval, timer_kind::position_poll, 0, group, {}});
}

void request_processor::handle(const position_received& event)
{
    const server_state* current = m_context.state.servers.find(event.report.name);
    if (current == nullptr || current->position_query_connection != event.connection) {
        return;
    }
    server_state next = *current;
    next.position_query_connection = 0;
    m_context.set_server(event.report.name, std::move(next));
    m_connections.release(event.report.name, event.connection);
}

void request_processor::abort_term(const group_name& group, group_term term)
{
    const auto transactions = m_context.state.transactions;
    for (const auto& [id, transaction] : transactions) {
        if (transaction.group == group && transaction.term <= term && !transaction.is_busy) {
            end_transaction(id);
        }
    }
    const auto requests = m_context.state.requests;
    for (const auto& [number, request] : requests) {
        const bool is_ended =
            request.input.group == group && request.term <= term && is_write(request) &&
            (request.stage == request_stage::running || request.stage == request_stage::replicating);
        if (!is_ended) {
            continue;
        }
        const bool is_running = request.stage == request_stage::running;
        if (request.input.transaction) {
            end_transaction(*request.input.transaction);
        } else if (is_running) {
            m_connections.close(request.server, request.connection);
        }
        if (request.input.transaction && request.input.operation != operation_kind::commit) {
            refuse(request, refusal_reason::transaction_ended, "close_term", request.server.value,
                   "the primary was replaced; the transaction has ended without a commit");
            continue;
        }
        if (request.input.operation == operation_kind::begin) {
            retry_after_send(request, "begin", "the primary was replaced");
            continue;
        }
        retry_or_report_unknown(request, "the primary was replaced before the write could be acknowledged");
    }
}

std::size_t request_processor::in_flight(const group_name& group, group_term term) const
{
    std::size_t count = 0;
    for (const auto& [id, transaction] : m_context.state.transactions) {
        count += transaction.group == group && transaction.term <= term ? 1 : 0;
    }
    for (const auto& [number, request] : m_context.state.requests) {
        const bool is_in_flight =
            request.input.group == group && request.term <= term && is_write(request) &&
            (request.stage == request_stage::running || request.stage == request_stage::replicating);
        count += is_in_flight ? 1 : 0;
    }
    return count;
}

void request_processor::complete(const request_state& request, caller_response answer)
{
    if (request.is_claimed) {
        send_claim_update(request, directory::record_answer{{request.input.group, *request.input.key},
                                                            {m_context.state.self, request.input.request},
                                                            {answer.body, request.write_position}});
    }
    finish(request, std::move(answer));
}

void request_processor::refuse(const request_state& request, refusal_reason reason, std::string step,
                               std::string peer, std::string detail,
                               std::optional<session_token::token> token)
{
    if (request.may_have_run) {
        report_outcome_unknown(request, std::move(step), std::move(peer), std::move(detail));
        return;
    }
    const bool may_be_claimed = request.is_claimed || request.stage == request_stage::claiming;
    if (may_be_claimed && request.input.key && !request.settings.repeatable &&
        reason != refusal_reason::key_reused) {
        send_claim_update(request, directory::withdraw_claim{{request.input.group, *request.input.key},
                                                             {m_context.state.self, request.input.request}});
    }
    finish(request, not_run{reason, std::move(step), std::move(peer), std::move(detail), std::move(token)});
}

void request_processor::report_outcome_unknown(const request_state& request, std::string step,
                                               std::string peer, std::string detail)
{
    finish(request, outcome_unknown{std::move(step), std::move(peer), std::move(detail)});
}

void request_processor::finish(const request_state& request, caller_outcome outcome)
{
    const request_number number = request.input.request;
    const request_state* current = m_context.state.requests.find(number);
    const bool is_queued = current != nullptr && current->stage == request_stage::queued;
    if (is_queued) {
        const request_state queued = *current;
        remove_from_queue(queued);
    }
    m_context.state.pending_claims =
        std::move(m_context.state.pending_claims).erase(request.claim_call_number);
    m_context.state.requests = std::move(m_context.state.requests).erase(number);
    m_context.effects.emplace_back(send_response{number, std::move(outcome)});
}

void request_processor::send_claim_update(const request_state& request, protocol::claim_command command)
{
    pending_claim_update pending;
    pending.call = {m_context.next_number(), std::move(command)};
    pending.resend_at = m_context.now + claim_resend_interval;
    pending.give_up_at = m_context.now + std::max(request.settings.deadline, milliseconds{10'000});
    m_context.send_to_leader(pending.call);
    m_context.state.pending_claim_updates =
        std::move(m_context.state.pending_claim_updates).set(pending.call.call_id, pending);
}

void request_processor::resend_claim_updates()
{
    const auto pending_claim_updates = m_context.state.pending_claim_updates;
    for (const auto& [call, pending] : pending_claim_updates) {
        if (m_context.now >= pending.give_up_at) {
            m_context.state.pending_claim_updates =
                std::move(m_context.state.pending_claim_updates).erase(call);
        } else if (m_context.now >= pending.resend_at) {
            pending_claim_update next = pending;
            next.resend_at = m_context.now + claim_resend_interval;
            m_context.send_to_leader(next.call);
            m_context.state.pending_claim_updates =
                std::move(m_context.state.pending_claim_updates).set(call, std::move(next));
        }
    }
}

void request_processor::on_timer(const timer& expired)
{
    if (expired.kind == timer_kind::queue_retry) {
        dispatch(expired.group);
        return;
    }
    if (expired.kind == timer_kind::position_poll) {
        poll_positions(expired.group);
        return;
    }
    if (expired.kind == timer_kind::transaction_idle) {
        const transaction_state* current = m_context.state.transactions.find(expired.transaction);
        if (current == nullptr) {
            return;
        }
        const time_point idle_at = current->last_used + transaction_idle_timeout;
        if (current->is_busy || idle_at > m_context.now) {
            const time_point next = std::max(idle_at, m_context.now + refusal_backoff);
            m_context.set_timer({next, timer_kind::transaction_idle, 0, {}, expired.transaction});
            return;
        }
        end_transaction(expired.transaction);
        return;
    }
    const request_state* current = m_context.state.requests.find(expired.request);
    if (current == nullptr) {
        return;
    }
    const request_state request = *current;
    switch (expired.kind) {
    case timer_kind::deadline:
        handle_deadline(request);
        return;
    case timer_kind::slow_statement:
        if (request.stage == request_stage::running &&
            m_context.now - request.sent_at >= slow_statement_threshold) {
            report_suspicion(request, "no answer within the time for a slow statement");
            m_context.set_timer({m_context.now + suspicion_report_interval,
                                 timer_kind::slow_statement,
                                 request.input.request,
                                 {},
                                 {}});
        }
        return;
    case timer_kind::claim_resend:
        if (request.stage == request_stage::claiming) {
            send_claim(request);
        }
        return;
    default:
        return;
    }
}

void request_processor::handle_deadline(const request_state& request)
{
    switch (request.stage) {
    case request_stage::claiming:
        refuse(request, refusal_reason::control_unavailable, "claim",
               m_context.state.leader.value_or(host_name{}).value,
               "control did not confirm the claim in time");
        return;
    case request_stage::queued: {
        const group_state* group = m_context.state.groups.find(request.input.group);
        const std::string peer = group == nullptr ? "" : group->record.primary.value;
        refuse(request, refusal_reason::deadline_passed, "queue", peer,
               "the deadline passed before the request could run");
        return;
    }
    case request_stage::replicating:
        report_outcome_unknown(request, "replicate", request.server.value,
                               "no replica had the write in time");
        return;
    case request_stage::running:
        break;
    }
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
    } else {
        m_connections.close(request.server, request.connection);
    }
    report_outcome_unknown(request, "statement", request.server.value, "no answer before the deadline");
}

} // namespace hickorymount::routing::detail
