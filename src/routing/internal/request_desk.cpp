#include "routing/internal/request_desk.h"

#include "routing/internal/read_candidates.h"
#include "routing/internal/request_key.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::routing::detail {

/// A server that does not hold the term in which it was asked: a change of primary is on its way, and what is
/// in flight when it comes has an unknown outcome.
static constexpr milliseconds other_term_pause{250};

namespace {

using configuration::acknowledgement;
using configuration::statement_kind;
using directory::claim_verdict;
using directory::group_phase;
using protocol::server_role;

bool is_write(const request_state& request)
{
    return request.settings.kind == statement_kind::write || request.input.what != operation::run ||
           request.input.transaction.has_value();
}

} // namespace

request_desk::request_desk(entry_step& step, connection_keeper& connections)
    : m_step(step), m_connections(connections)
{
}

void request_desk::handle(const caller_request& input)
{
    request_state request;
    request.input = input;
    request.received_at = m_step.now;
    m_step.state.retry_budget = std::min(max_retry_budget, m_step.state.retry_budget + 1);
    const auto& configuration = m_step.state.configuration->content;
    if (m_step.state.is_draining && !input.transaction) {
        refuse(request, refusal::draining, "admit", "", "this entry host is stopping");
        return;
    }
    if (m_step.state.configuration->version == 0) {
        refuse(request, refusal::not_ready, "admit", "", "no configuration yet");
        return;
    }
    if (!configuration.groups.contains(input.group)) {
        refuse(request, refusal::unknown_group, "admit", "", "unknown group '" + input.group.value + "'");
        return;
    }
    const auto settings = configuration.classes.find(input.class_of_request);
    if (settings == configuration.classes.end()) {
        refuse(request, refusal::unknown_class, "admit", "",
               "unknown class '" + input.class_of_request.value + "'");
        return;
    }
    request.settings = settings->second;
    const milliseconds limit = request.settings.deadline;
    if (input.timeout < milliseconds{0}) {
        refuse(request, refusal::deadline_passed, "admit", "", "the deadline had passed on arrival");
        return;
    }
    request.deadline =
        m_step.now + (input.timeout > milliseconds{0} ? std::min(input.timeout, limit) : limit);
    if (input.transaction) {
        admit_statement_of_transaction(std::move(request));
        return;
    }
    admit(std::move(request));
}

void request_desk::admit(request_state request)
{
    const bool is_transaction = request.input.what != operation::run;
    if (is_transaction && (request.settings.kind == statement_kind::read || !request.settings.repeatable)) {
        refuse(request, refusal::class_not_allowed, "admit", "",
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
    request.claim_call_number = m_step.next_number();
    m_step.state.pending_claims =
        std::move(m_step.state.pending_claims).set(request.claim_call_number, request.input.request);
    m_step.set_alarm({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    m_step.set_request(request);
    send_claim(request);
}

bool request_desk::check_key(request_state& request)
{
    const auto& key = request.input.key;
    if (request.settings.repeatable && key) {
        refuse(request, refusal::key_not_allowed, "admit", "",
               "the class may be repeated and takes no request key");
        return false;
    }
    if (request.settings.repeatable) {
        return true;
    }
    if (!key) {
        refuse(request, refusal::key_missing, "admit", "",
               "the class must not repeat and needs a request key");
        return false;
    }
    const auto made_at = key_time(*key);
    if (!made_at || *made_at > m_step.wall + key_clock_tolerance) {
        refuse(request, refusal::key_malformed, "admit", "",
               "expected a request key '<Unix seconds>-<text>'");
        return false;
    }
    if (m_step.wall - *made_at > request.settings.key_retention) {
        refuse(request, refusal::key_too_old, "admit", "", "the key is older than its class's key_retention");
        return false;
    }
    return true;
}

bool request_desk::check_token(const request_state& request)
{
    const group_state* group = m_step.state.groups.find(request.input.group);
    const session::group_position seen = needed_position(request);
    if (group == nullptr || seen.term == 0 || session::is_retained(seen, group->record.starts)) {
        return true;
    }
    const session::term_start& start = group->record.starts.back();
    session::token token = request.input.token;
    token.seen[request.input.group] = {start.term, start.position};
    refuse(request, refusal::session_position_lost, "admit", group->record.primary.value,
           "a write of this session was lost in a change of primary", std::move(token));
    return false;
}

void request_desk::send_claim(const request_state& request)
{
    directory::claim_request claim;
    claim.key = {request.input.group, *request.input.key};
    claim.holder = {m_step.state.self, request.input.request};
    claim.statement_hash = statement_hash(request.input);
    claim.claimed_at = m_step.wall;
    claim.retention = request.settings.key_retention + key_clock_tolerance;
    m_step.send_to_leader(protocol::claim_call{request.claim_call_number, std::move(claim)});
    m_step.set_alarm(
        {m_step.now + claim_resend_interval, timer_kind::claim_resend, request.input.request, {}, {}});
}

void request_desk::handle(const protocol::claim_reply& reply)
{
    if (m_step.state.pending_claim_updates.contains(reply.call)) {
        m_step.state.pending_claim_updates = std::move(m_step.state.pending_claim_updates).erase(reply.call);
        return;
    }
    const request_number* claimed = m_step.state.pending_claims.find(reply.call);
    const request_state* known = claimed == nullptr ? nullptr : m_step.state.requests.find(*claimed);
    if (known == nullptr || known->stage != request_stage::claiming) {
        return;
    }
    request_state request = *known;
    m_step.state.pending_claims = std::move(m_step.state.pending_claims).erase(reply.call);
    switch (reply.answer.verdict) {
    case claim_verdict::granted:
        request.is_claimed = true;
        enqueue(std::move(request));
        return;
    case claim_verdict::answered: {
        const group_state* group = m_step.state.groups.find(request.input.group);
        const session::group_position at = reply.answer.answer->position;
        if (group != nullptr && !session::is_retained(at, group->record.starts)) {
            leave_unknown(request, "claim", group->record.primary.value,
                          "the key's write was acknowledged, and lost in a change of primary");
            return;
        }
        whole_answer answer;
        answer.body = reply.answer.answer->body;
        answer.token = session::raised(request.input.token, request.input.group, at);
        answer.is_repeated = true;
        complete(request, std::move(answer));
        return;
    }
    case claim_verdict::outcome_unknown:
        leave_unknown(request, "claim", "",
                      "the key was used before, and that request's outcome is not known");
        return;
    case claim_verdict::key_reused:
        refuse(request, refusal::key_reused, "claim", "", "the key belongs to another statement");
        return;
    }
}

void request_desk::admit_statement_of_transaction(request_state request)
{
    const transaction_id& id = *request.input.transaction;
    const transaction_state* known = m_step.state.transactions.find(id);
    const std::string own_prefix =
        m_step.state.self.name.value + "." + m_step.state.self.incarnation.value + ".";
    if (known == nullptr && id.value.rfind(own_prefix, 0) != 0) {
        const std::string holder = id.value.substr(0, id.value.find('.'));
        refuse(request, refusal::transaction_elsewhere, "admit", holder,
               "the transaction is bound to another entry host or an earlier run of this one");
        return;
    }
    if (known == nullptr || known->group != request.input.group) {
        refuse(request, refusal::transaction_ended, "admit", "",
               "the transaction has ended without a commit");
        return;
    }
    if (known->is_busy) {
        refuse(request, refusal::transaction_busy, "admit", "",
               "the transaction's last statement is still running");
        return;
    }
    if (request.settings.kind == statement_kind::write && !request.settings.repeatable) {
        refuse(request, refusal::class_not_allowed, "admit", "",
               "a class that must not repeat takes no transaction");
        return;
    }
    transaction_state transaction = *known;
    transaction.is_busy = true;
    transaction.last_used = m_step.now;
    request.term = transaction.term;
    m_step.set_alarm({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    m_step.state.transactions = std::move(m_step.state.transactions).set(id, transaction);
    start(std::move(request), transaction.server, transaction.connection);
}

void request_desk::enqueue(request_state request)
{
    const std::pair key(request.input.group, request.input.class_of_request);
    const std::uint32_t* waiting = m_step.state.queued_counts.find(key);
    const std::uint32_t count = waiting == nullptr ? 0 : *waiting;
    request.stage = request_stage::queued;
    if (request.attempts == 0 && !request.is_claimed) {
        m_step.set_alarm({request.deadline, timer_kind::deadline, request.input.request, {}, {}});
    }
    const group_state* known = m_step.state.groups.find(request.input.group);
    group_state group = known == nullptr ? group_state{} : *known;
    if (group.queue.empty() && try_start(request)) {
        return;
    }
    if (count >= request.settings.queue_limit) {
        refuse(request, refusal::queue_full, "queue", "", "too many requests of the class wait");
        return;
    }
    m_step.state.queued_counts = std::move(m_step.state.queued_counts).set(key, count + 1);
    group.queue.push_back(request.input.request);
    const group_name name = request.input.group;
    m_step.set_group(name, std::move(group));
    m_step.set_request(std::move(request));
    dispatch(name);
}

void request_desk::leave_queue(const request_state& request)
{
    const std::pair key(request.input.group, request.input.class_of_request);
    const std::uint32_t* waiting = m_step.state.queued_counts.find(key);
    if (waiting != nullptr && *waiting > 0) {
        m_step.state.queued_counts = std::move(m_step.state.queued_counts).set(key, *waiting - 1);
    }
    group_state group = *m_step.state.groups.find(request.input.group);
    std::erase(group.queue, request.input.request);
    m_step.set_group(request.input.group, std::move(group));
}

void request_desk::dispatch(const group_name& group)
{
    const group_state* known = m_step.state.groups.find(group);
    if (known == nullptr || known->queue.empty()) {
        return;
    }
    const std::vector<request_number> queue = known->queue;
    for (const request_number number : queue) {
        const group_state& present = *m_step.state.groups.find(group);
        const bool has_room =
            std::any_of(present.members.begin(), present.members.end(), [&](const auto& member) {
                const server_state* server = m_step.state.servers.find(member);
                return server != nullptr && !server->connections.idle.empty();
            });
        if (!has_room) {
            return;
        }
        const request_state* request = m_step.state.requests.find(number);
        if (request == nullptr || request->stage != request_stage::queued) {
            continue;
        }
        const request_state waiting = *request;
        if (!check_token(waiting)) {
            continue;
        }
        if (try_start(waiting)) {
            leave_queue(waiting);
        }
    }
}

bool request_desk::try_start(const request_state& request)
{
    const group_state* group = m_step.state.groups.find(request.input.group);
    if (group == nullptr || needed_position(request).term > group->record.term) {
        return false;
    }
    return is_write(request) ? try_start_write(request, *group) : try_start_read(request, *group);
}

bool request_desk::try_start_write(const request_state& request, const group_state& group)
{
    const server_state* primary = m_step.state.servers.find(group.record.primary);
    const bool may_write = m_step.is_term_usable(group) && group.held_term < group.record.term;
    if (!may_write || primary == nullptr || m_step.now < primary->avoid_until) {
        return false;
    }
    const backend_server_name server = group.record.primary;
    const auto connection = m_connections.take(server);
    if (!connection) {
        return false;
    }
    request_state started = request;
    started.term = group.record.term;
    start(std::move(started), server, *connection);
    return true;
}

bool request_desk::try_start_read(const request_state& request, const group_state& group)
{
    const std::vector<read_candidate> known = read_candidates(m_step, request, group);
    const read_choice choice = m_step.policy.choose(known);
    if (!choice.candidate) {
        return false;
    }
    const backend_server_name server = known[*choice.candidate].name;
    const auto connection = m_connections.take(server);
    if (!connection) {
        return false;
    }
    request_state started = request;
    started.term = group.record.term;
    start(std::move(started), server, *connection);
    return true;
}

void request_desk::start(request_state request, const backend_server_name& server,
                         connection_number connection)
{
    request.stage = request_stage::running;
    request.server = server;
    request.connection = connection;
    request.sent_at = m_step.now;
    ++request.attempts;
    run_statement run;
    run.request = request.input.request;
    run.server = server;
    run.connection = connection;
    run.what = request.input.what;
    run.kind = request.settings.kind;
    run.is_in_transaction = request.input.transaction.has_value();
    run.statement = request.input.statement;
    run.term = request.term;
    run.least_position = is_write(request) ? 0 : needed_position(request).position;
    run.timeout = std::min(max_statement_timeout, request.deadline - m_step.now);
    m_step.effects.emplace_back(std::move(run));
    m_step.set_alarm(
        {m_step.now + slow_statement_threshold, timer_kind::slow_statement, request.input.request, {}, {}});
    m_step.set_request(std::move(request));
}

const request_state* request_desk::awaited(request_number number, connection_number connection) const
{
    const request_state* known = m_step.state.requests.find(number);
    const bool is_awaited =
        known != nullptr && known->stage == request_stage::running && known->connection == connection;
    return is_awaited ? known : nullptr;
}

void request_desk::handle(const statement_answered& what)
{
    const request_state* known = awaited(what.request, what.connection);
    if (known == nullptr) {
        return;
    }
    request_state request = *known;
    if (const server_state* server = m_step.state.servers.find(request.server);
        server != nullptr && what.at > server->report.at) {
        server_state next = *server;
        next.report.at = what.at;
        m_step.set_server(request.server, std::move(next));
    }
    if (request.input.transaction || request.input.what == operation::begin) {
        answered_transaction(std::move(request), what);
        return;
    }
    release_connection(request, what.connection);
    if (is_write(request)) {
        answered_write(std::move(request), what);
    } else {
        answered_read(std::move(request), what);
    }
}

void request_desk::answered_read(request_state request, const statement_answered& what)
{
    const group_state& group = *m_step.state.groups.find(request.input.group);
    const bool is_primary = request.server == group.record.primary;
    const session::group_position needed = needed_position(request);
    // The statement was sent at sent_at, so the data is at most this old now.
    const milliseconds age = what.age + (m_step.now - request.sent_at);
    const bool is_young =
        !request.settings.max_age || (m_step.has_lease() && age <= *request.settings.max_age);
    const bool is_current =
        what.at.term == group.record.term && (!is_primary || m_step.is_term_usable(group));
    if (!is_current || what.at.position < needed.position || !is_young) {
        request.lagging_servers.insert(request.server);
        retry_sent(std::move(request), "read", "the answer was behind the session or too old");
        return;
    }
    whole_answer answer;
    answer.body = what.body;
    answer.token = request.input.token;
    answer.served_by = request.server;
    answer.role = is_primary ? server_role::primary : server_role::replica;
    complete(request, std::move(answer));
}

void request_desk::answered_write(request_state request, const statement_answered& what)
{
    const group_state& group = *m_step.state.groups.find(request.input.group);
    const bool is_valid =
        m_step.is_term_usable(group) && group.record.term == request.term && what.at.term == request.term;
    if (!is_valid) {
        retry_or_unknown(std::move(request), "the term ended before the write could be acknowledged");
        return;
    }
    whole_answer answer;
    answer.body = what.body;
    answer.token = session::raised(request.input.token, request.input.group, what.at);
    answer.served_by = request.server;
    answer.valid_until = m_step.state.lease.valid_until;
    request.write_position = what.at;
    if (request.settings.acknowledged_by == acknowledgement::primary) {
        complete(request, std::move(answer));
        return;
    }
    request.stage = request_stage::replicating;
    request.pending_answer = std::move(answer);
    const group_name name = request.input.group;
    m_step.set_request(std::move(request));
    confirm_replicated(name);
    poll_positions(name);
}

void request_desk::answered_transaction(request_state request, const statement_answered& what)
{
    if (request.input.what == operation::begin) {
        const transaction_id id{fmt::format("{}.{}.{}", m_step.state.self.name.value,
                                            m_step.state.self.incarnation.value, request.input.request)};
        transaction_state opened;
        opened.group = request.input.group;
        opened.class_of_request = request.input.class_of_request;
        opened.server = request.server;
        opened.connection = request.connection;
        opened.term = request.term;
        opened.last_used = m_step.now;
        m_step.state.transactions = std::move(m_step.state.transactions).set(id, opened);
        m_step.set_alarm({m_step.now + transaction_idle_timeout, timer_kind::transaction_idle, 0, {}, id});
        whole_answer answer{what.body, request.input.token, request.server, server_role::primary, id, false,
                            {}};
        complete(request, std::move(answer));
        return;
    }
    const transaction_id id = *request.input.transaction;
    const transaction_state* known = m_step.state.transactions.find(id);
    if (request.input.what == operation::run) {
        if (known != nullptr) {
            transaction_state next = *known;
            next.is_busy = false;
            next.last_used = m_step.now;
            m_step.state.transactions = std::move(m_step.state.transactions).set(id, next);
        }
        whole_answer answer{what.body, request.input.token, request.server, server_role::primary, id, false,
                            {}};
        complete(request, std::move(answer));
        return;
    }
    m_step.state.transactions = std::move(m_step.state.transactions).erase(id);
    release_connection(request, what.connection);
    if (request.input.what == operation::rollback) {
        whole_answer answer{what.body, request.input.token, request.server, server_role::primary, {}, false,
                            {}};
        complete(request, std::move(answer));
        return;
    }
    answered_write(std::move(request), what);
}

void request_desk::release_connection(const request_state& request, connection_number connection)
{
    m_connections.give_back(request.server, connection);
}

void request_desk::handle(const statement_refused& what)
{
    const request_state* known = awaited(what.request, what.connection);
    if (known == nullptr) {
        return;
    }
    request_state request = *known;
    if (request.input.transaction) {
        const transaction_id id = *request.input.transaction;
        end_transaction(id);
        refuse(request, refusal::transaction_ended, "statement", request.server.value,
               "the backend server ended the transaction without a commit");
        return;
    }
    release_connection(request, what.connection);
    if (const server_state* server = m_step.state.servers.find(request.server)) {
        server_state next = *server;
        next.report.leaving = next.report.leaving || what.reason == server_refusal::leaving;
        next.report.at = std::max(next.report.at, what.at);
        const bool is_only_behind = what.reason == server_refusal::behind;
        const bool is_other_term =
            what.reason == server_refusal::wrong_term || what.reason == server_refusal::not_primary;
        const milliseconds pause = is_other_term ? other_term_pause : refusal_backoff;
        next.avoid_until = is_only_behind ? next.avoid_until : m_step.now + pause;
        m_step.set_server(request.server, std::move(next));
    }
    request.lagging_servers.insert(request.server);
    retry_not_run(std::move(request));
}

void request_desk::handle(const statement_not_sent& what)
{
    const request_state* known = awaited(what.request, what.connection);
    if (known == nullptr) {
        return;
    }
    request_state request = *known;
    suspect(request, what.reason);
    m_connections.forget(request.server, what.connection);
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
        refuse(request, refusal::transaction_ended, "statement", request.server.value,
               "the connection was lost; the transaction has ended without a commit");
        return;
    }
    retry_not_run(std::move(request));
}

void request_desk::handle(const statement_lost& what)
{
    const request_state* known = awaited(what.request, what.connection);
    if (known == nullptr) {
        return;
    }
    request_state request = *known;
    suspect(request, what.reason);
    m_connections.forget(request.server, what.connection);
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
        if (request.input.what == operation::commit) {
            leave_unknown(request, "commit", request.server.value, what.reason);
            return;
        }
        refuse(request, refusal::transaction_ended, "statement", request.server.value,
               "the connection was lost; the transaction has ended without a commit");
        return;
    }
    if (!is_write(request) || request.input.what == operation::begin) {
        retry_sent(std::move(request), "read", what.reason);
        return;
    }
    retry_or_unknown(std::move(request), what.reason);
}

void request_desk::end_transaction(const transaction_id& transaction)
{
    const transaction_state* known = m_step.state.transactions.find(transaction);
    if (known == nullptr) {
        return;
    }
    m_connections.end(known->server, known->connection);
    m_step.state.transactions = std::move(m_step.state.transactions).erase(transaction_id{transaction});
}

void request_desk::retry_sent(request_state request, const std::string& step, const std::string& detail)
{
    request.may_have_run = true;
    if (request.attempts >= max_attempts || m_step.state.retry_budget < retry_cost) {
        leave_unknown(request, step, request.server.value, detail);
        return;
    }
    m_step.state.retry_budget -= retry_cost;
    retry_not_run(std::move(request));
}

void request_desk::retry_not_run(request_state request)
{
    m_step.set_alarm({m_step.now + refusal_backoff, timer_kind::queue_retry, 0, request.input.group, {}});
    enqueue(std::move(request));
}

void request_desk::retry_or_unknown(request_state request, const std::string& detail)
{
    const bool may_repeat =
        request.settings.repeatable && request.input.what == operation::run && !request.input.transaction;
    if (!may_repeat) {
        leave_unknown(request, "write", request.server.value, detail);
        return;
    }
    retry_sent(std::move(request), "write", detail);
}

void request_desk::suspect(const request_state& request, const std::string& reason)
{
    const group_state* known = m_step.state.groups.find(request.input.group);
    const bool is_primary = known != nullptr && known->record.primary == request.server &&
                            known->record.phase == group_phase::open;
    if (!is_primary || m_step.now - known->last_suspicion_report < suspicion_report_interval) {
        return;
    }
    group_state group = *known;
    group.last_suspicion_report = m_step.now;
    m_step.send_to_leader(
        protocol::suspicion{request.input.group, group.record.term, request.server, reason});
    m_step.set_group(request.input.group, std::move(group));
}

void request_desk::confirm_replicated(const group_name& group)
{
    const group_state* found = m_step.state.groups.find(group);
    if (found == nullptr) {
        return;
    }
    const group_state known = *found;
    protocol::log_position replicated = 0;
    for (const backend_server_name& name : known.members) {
        const protocol::server_report& report = m_step.state.servers.find(name)->report;
        if (name != known.record.primary && report.at.term == known.record.term) {
            replicated = std::max(replicated, report.at.position);
        }
    }
    const auto requests = m_step.state.requests;
    for (const auto& [number, request] : requests) {
        const bool is_confirmed = request.input.group == group &&
                                  request.stage == request_stage::replicating &&
                                  request.write_position.position <= replicated;
        if (!is_confirmed) {
            continue;
        }
        if (m_step.is_term_usable(known) && known.record.term == request.term) {
            whole_answer answer = *request.pending_answer;
            answer.valid_until = m_step.state.lease.valid_until;
            complete(request, std::move(answer));
        } else {
            retry_or_unknown(request, "the term ended before a replica had the write");
        }
    }
}

void request_desk::poll_positions(const group_name& group)
{
    const group_state* found = m_step.state.groups.find(group);
    const auto& requests = m_step.state.requests;
    const bool is_awaited = std::any_of(requests.begin(), requests.end(), [&](const auto& each) {
        return each.second.input.group == group && each.second.stage == request_stage::replicating;
    });
    if (found == nullptr || !is_awaited) {
        return;
    }
    const group_state known = *found;
    for (const backend_server_name& name : known.members) {
        const server_state& server = *m_step.state.servers.find(name);
        const bool may_ask = name != known.record.primary && server.position_query_connection == 0 &&
                             m_step.now - server.heard_at < report_timeout;
        const auto connection = may_ask ? m_connections.take(name) : std::nullopt;
        if (!connection) {
            continue;
        }
        server_state next = *m_step.state.servers.find(name);
        next.position_query_connection = *connection;
        m_step.set_server(name, std::move(next));
        m_step.effects.emplace_back(ask_position{name, *connection});
    }
    m_step.set_alarm({m_step.now + position_poll_interval, timer_kind::position_poll, 0, group, {}});
}

void request_desk::handle(const position_told& told)
{
    const server_state* known = m_step.state.servers.find(told.report.name);
    if (known == nullptr || known->position_query_connection != told.connection) {
        return;
    }
    server_state next = *known;
    next.position_query_connection = 0;
    m_step.set_server(told.report.name, std::move(next));
    m_connections.give_back(told.report.name, told.connection);
}

void request_desk::leave_term(const group_name& group, group_term term)
{
    const auto transactions = m_step.state.transactions;
    for (const auto& [id, transaction] : transactions) {
        if (transaction.group == group && transaction.term <= term && !transaction.is_busy) {
            end_transaction(id);
        }
    }
    const auto requests = m_step.state.requests;
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
            m_connections.end(request.server, request.connection);
        }
        if (request.input.transaction && request.input.what != operation::commit) {
            refuse(request, refusal::transaction_ended, "close_term", request.server.value,
                   "the primary was replaced; the transaction has ended without a commit");
            continue;
        }
        if (request.input.what == operation::begin) {
            retry_sent(request, "begin", "the primary was replaced");
            continue;
        }
        retry_or_unknown(request, "the primary was replaced before the write could be acknowledged");
    }
}

std::size_t request_desk::in_flight(const group_name& group, group_term term) const
{
    std::size_t count = 0;
    for (const auto& [id, transaction] : m_step.state.transactions) {
        count += transaction.group == group && transaction.term <= term ? 1 : 0;
    }
    for (const auto& [number, request] : m_step.state.requests) {
        const bool is_in_flight =
            request.input.group == group && request.term <= term && is_write(request) &&
            (request.stage == request_stage::running || request.stage == request_stage::replicating);
        count += is_in_flight ? 1 : 0;
    }
    return count;
}

void request_desk::complete(const request_state& request, whole_answer answer)
{
    if (request.is_claimed) {
        record(request, directory::record_outcome{{request.input.group, *request.input.key},
                                                  {m_step.state.self, request.input.request},
                                                  {answer.body, request.write_position}});
    }
    finish(request, std::move(answer));
}

void request_desk::refuse(const request_state& request, refusal reason, std::string step, std::string peer,
                          std::string detail, std::optional<session::token> token)
{
    if (request.may_have_run) {
        leave_unknown(request, std::move(step), std::move(peer), std::move(detail));
        return;
    }
    const bool may_be_claimed = request.is_claimed || request.stage == request_stage::claiming;
    if (may_be_claimed && request.input.key && !request.settings.repeatable &&
        reason != refusal::key_reused) {
        record(request, directory::withdraw_claim{{request.input.group, *request.input.key},
                                                  {m_step.state.self, request.input.request}});
    }
    finish(request, not_run{reason, std::move(step), std::move(peer), std::move(detail), std::move(token)});
}

void request_desk::leave_unknown(const request_state& request, std::string step, std::string peer,
                                 std::string detail)
{
    finish(request, outcome_unknown{std::move(step), std::move(peer), std::move(detail)});
}

void request_desk::finish(const request_state& request, caller_outcome outcome)
{
    const request_number number = request.input.request;
    const request_state* known = m_step.state.requests.find(number);
    const bool is_queued = known != nullptr && known->stage == request_stage::queued;
    if (is_queued) {
        const request_state waiting = *known;
        leave_queue(waiting);
    }
    m_step.state.pending_claims = std::move(m_step.state.pending_claims).erase(request.claim_call_number);
    m_step.state.requests = std::move(m_step.state.requests).erase(number);
    m_step.effects.emplace_back(answer_caller{number, std::move(outcome)});
}

void request_desk::record(const request_state& request, protocol::claim_command command)
{
    pending_claim_update pending;
    pending.call = {m_step.next_number(), std::move(command)};
    pending.resend_at = m_step.now + claim_resend_interval;
    pending.give_up_at = m_step.now + std::max(request.settings.deadline, milliseconds{10'000});
    m_step.send_to_leader(pending.call);
    m_step.state.pending_claim_updates =
        std::move(m_step.state.pending_claim_updates).set(pending.call.call, pending);
}

void request_desk::resend_records()
{
    const auto pending_claim_updates = m_step.state.pending_claim_updates;
    for (const auto& [call, pending] : pending_claim_updates) {
        if (m_step.now >= pending.give_up_at) {
            m_step.state.pending_claim_updates = std::move(m_step.state.pending_claim_updates).erase(call);
        } else if (m_step.now >= pending.resend_at) {
            pending_claim_update next = pending;
            next.resend_at = m_step.now + claim_resend_interval;
            m_step.send_to_leader(next.call);
            m_step.state.pending_claim_updates =
                std::move(m_step.state.pending_claim_updates).set(call, std::move(next));
        }
    }
}

void request_desk::ring(const timer& what)
{
    if (what.kind == timer_kind::queue_retry) {
        dispatch(what.group);
        return;
    }
    if (what.kind == timer_kind::position_poll) {
        poll_positions(what.group);
        return;
    }
    if (what.kind == timer_kind::transaction_idle) {
        const transaction_state* known = m_step.state.transactions.find(what.transaction);
        if (known == nullptr) {
            return;
        }
        const time_point idle_at = known->last_used + transaction_idle_timeout;
        if (known->is_busy || idle_at > m_step.now) {
            const time_point next = std::max(idle_at, m_step.now + refusal_backoff);
            m_step.set_alarm({next, timer_kind::transaction_idle, 0, {}, what.transaction});
            return;
        }
        end_transaction(what.transaction);
        return;
    }
    const request_state* known = m_step.state.requests.find(what.request);
    if (known == nullptr) {
        return;
    }
    const request_state request = *known;
    switch (what.kind) {
    case timer_kind::deadline:
        deadline_passed(request);
        return;
    case timer_kind::slow_statement:
        if (request.stage == request_stage::running &&
            m_step.now - request.sent_at >= slow_statement_threshold) {
            suspect(request, "no answer within the time for a slow statement");
            m_step.set_alarm({m_step.now + suspicion_report_interval,
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

void request_desk::deadline_passed(const request_state& request)
{
    switch (request.stage) {
    case request_stage::claiming:
        refuse(request, refusal::control_unavailable, "claim",
               m_step.state.leader.value_or(host_name{}).value, "control did not confirm the claim in time");
        return;
    case request_stage::queued: {
        const group_state* group = m_step.state.groups.find(request.input.group);
        const std::string peer = group == nullptr ? "" : group->record.primary.value;
        refuse(request, refusal::deadline_passed, "queue", peer,
               "the deadline passed before the request could run");
        return;
    }
    case request_stage::replicating:
        leave_unknown(request, "replicate", request.server.value, "no replica had the write in time");
        return;
    case request_stage::running:
        break;
    }
    if (request.input.transaction) {
        end_transaction(*request.input.transaction);
    } else {
        m_connections.end(request.server, request.connection);
    }
    leave_unknown(request, "statement", request.server.value, "no answer before the deadline");
}

} // namespace hickorymount::routing::detail
