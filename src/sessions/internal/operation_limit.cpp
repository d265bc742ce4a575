#include "sessions/internal/operation_limit.h"

#include "logging/fields.h"
#include "sessions/internal/customer_identity.h"

#include <set>

namespace hickorymount::sessions::detail {

namespace {

constexpr milliseconds refusal_log_interval{1000};
/// Minimum time between two reports because of a quota. Each is an event of the control thread, which limits
/// the renewals further.
constexpr milliseconds quota_report_interval{20};
/// An answer of control takes two round trips between regions, and early renewals are up to 300 ms apart.
constexpr milliseconds longest_wait_for_quota{400};

void request_quota(event_context& context)
{
    if (context.now >= context.state.next_quota_report_at) {
        context.state.next_quota_report_at = context.now + quota_report_interval;
        context.needs_quota = true;
    }
}

void mark_counted(caller_session& session)
{
    if (session.transaction) {
        session.transaction->is_counted = true;
    }
}

void log_refusal(event_context& context, const customer_name& customer, milliseconds retry_after)
{
    limit_refusals& refusals = context.state.limit_refusals_by_customer[customer];
    ++refusals.since_last_log;
    if (context.now < refusals.next_log_at) {
        return;
    }
    context.log(logging::log_level::information, "limit_reached", "",
                fmt::format("customer={} refused={} retry_after_ms={}", logging::value(customer.value),
                            refusals.since_last_log, retry_after.count()));
    refusals = {0, context.now + refusal_log_interval};
}

} // namespace

operation_admission count_operation(event_context& context, caller_session& session)
{
    const bool is_counted = session.transaction && session.transaction->is_counted;
    if (session.is_relayed || is_counted || !context.state.budgets.has_limit(session.customer)) {
        return operation_admission::admitted;
    }
    const bool is_admitted = !context.state.budgets.take(session.customer, context.now);
    const bool may_get_quota = context.state.budgets.may_get_quota(session.customer, context.now);
    if (context.state.budgets.needs_quota(session.customer, context.now)) {
        request_quota(context);
    }
    if (is_admitted) {
        mark_counted(session);
        return operation_admission::admitted;
    }
    return may_get_quota ? operation_admission::awaits_quota : operation_admission::refused;
}

operation_admission count_awaiting_operation(event_context& context, caller_session& session)
{
    if (context.state.budgets.start(session.customer, context.now)) {
        mark_counted(session);
        return operation_admission::admitted;
    }
    const milliseconds waited = context.now - session.pending->request.received_at;
    const bool may_wait =
        waited < longest_wait_for_quota && context.state.budgets.may_get_quota(session.customer, context.now);
    return may_wait ? operation_admission::awaits_quota : operation_admission::refused;
}

std::string refuse_operation(event_context& context, const customer_name& customer)
{
    const milliseconds retry_after = context.state.budgets.retry_after(customer, context.now);
    context.emit(record_limit_refusal{customer});
    log_refusal(context, customer, retry_after);
    return fmt::format("limit of customer reached; retry after {} ms", retry_after.count());
}

void request_first_quota(event_context& context, session_number opened)
{
    const caller_session* session = context.session(opened);
    if (session == nullptr || session->is_relayed || context.state.budgets.empty()) {
        return;
    }
    const std::optional<customer_name> customer = customer_of_caller(context.state, *session);
    if (customer && context.state.budgets.has_limit(*customer) &&
        !context.state.budgets.is_reported(*customer)) {
        request_quota(context);
    }
}

bool update_budgets(event_context& context)
{
    const traffic_view& view = *context.state.view;
    const bool has_new_quotas =
        context.state.budgets.update(view.limit_bounds, *view.configuration, *view.quotas);
    if (context.state.budgets.empty()) {
        context.state.limit_refusals_by_customer.clear();
    }
    return has_new_quotas;
}

limits::customer_demands report_demands(event_context& context)
{
    if (context.state.budgets.empty()) {
        return {};
    }
    std::set<customer_name> with_sessions;
    for (const auto& [number, session] : context.state.sessions) {
        if (!session.is_relayed) {
            with_sessions.insert(customer_of_caller(context.state, session).value_or(customer_name{}));
        }
    }
    return context.state.budgets.report(with_sessions, context.now);
}

} // namespace hickorymount::sessions::detail
