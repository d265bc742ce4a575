#include "load/history_check.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace hickorymount::load {

namespace {

using key_counts = std::map<std::pair<group_name, std::string>, std::uint64_t>;

/// Returns the longest history in the highest term of each group, which is that of its current primary.
std::map<group_name, const server_history*> latest_histories(const std::vector<server_history>& histories)
{
    std::map<group_name, const server_history*> latest;
    for (const server_history& history : histories) {
        const server_history*& latest_of_group = latest[history.group];
        const bool is_later = latest_of_group == nullptr ||
                              std::tuple(history.term, history.records.size()) >
                                  std::tuple(latest_of_group->term, latest_of_group->records.size());
        latest_of_group = is_later ? &history : latest_of_group;
    }
    return latest;
}

key_counts count_keys(const std::map<group_name, const server_history*>& latest)
{
    key_counts counts;
    for (const auto& [group, history] : latest) {
        for (const database::log_record& record : history->records) {
            for (const database::change& change : record.changes) {
                ++counts[{group, change.key}];
            }
        }
    }
    return counts;
}

std::uint64_t count_diverged_records(const std::vector<server_history>& histories,
                                     const std::map<group_name, const server_history*>& latest)
{
    std::uint64_t diverged_records = 0;
    for (const server_history& history : histories) {
        const server_history& latest_of_group = *latest.at(history.group);
        if (history.term != latest_of_group.term) {
            continue;
        }
        const std::size_t common_size = std::min(history.records.size(), latest_of_group.records.size());
        for (std::size_t index = 0; index < common_size; ++index) {
            diverged_records += history.records[index] == latest_of_group.records[index] ? 0 : 1;
        }
    }
    return diverged_records;
}

/// Counts keys that occur more often than the requests with that key can have run. All requests with one key
/// count together, because a repeated request may get "not run" after the first one ran.
std::uint64_t count_run_despite_not_run(const std::vector<request_trace>& traces, const key_counts& counts)
{
    key_counts possible_executions;
    for (const request_trace& trace : traces) {
        const bool is_write = trace.kind != request_kind::read;
        possible_executions[{trace.group, trace.key}] +=
            is_write && trace.outcome != request_outcome::not_run ? 1 : 0;
    }
    std::uint64_t count = 0;
    for (const auto& [key, occurrences] : counts) {
        const auto executions = possible_executions.find(key);
        count += executions != possible_executions.end() && occurrences > executions->second ? 1 : 0;
    }
    return count;
}

} // namespace

latency_distribution distribution_of(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto percentile = [&](std::size_t percent) { return values[(values.size() - 1) * percent / 100]; };
    return {percentile(50), percentile(99), values.back()};
}

check_result check_histories(const std::vector<request_trace>& traces,
                             const std::vector<server_history>& histories, bool is_write_replicated)
{
    const auto latest = latest_histories(histories);
    const key_counts counts = count_keys(latest);
    check_result result;
    result.diverged_records = count_diverged_records(histories, latest);
    for (const request_trace& trace : traces) {
        result.stale_reads += trace.is_stale ? 1 : 0;
        if (trace.kind == request_kind::read) {
            continue;
        }
        const auto occurrences_entry = counts.find({trace.group, trace.key});
        const std::uint64_t occurrences = occurrences_entry == counts.end() ? 0 : occurrences_entry->second;
        const bool is_acknowledged = trace.outcome == request_outcome::answered;
        result.acknowledged_writes += is_acknowledged ? 1 : 0;
        result.lost_writes += is_acknowledged && occurrences == 0 ? 1 : 0;
        result.lost_replicated_writes +=
            is_acknowledged && occurrences == 0 && is_write_replicated && trace.kind == request_kind::write
                ? 1
                : 0;
        result.duplicate_bookings += trace.kind == request_kind::booking && occurrences > 1 ? 1 : 0;
    }
    result.run_despite_not_run = count_run_despite_not_run(traces, counts);
    return result;
}

load_summary summarize(const std::vector<request_trace>& traces, milliseconds duration)
{
    load_summary summary;
    std::vector<double> read_latencies_ms;
    std::vector<double> write_latencies_ms;
    std::uint64_t answered_reads = 0;
    std::uint64_t replica_reads = 0;
    for (const request_trace& trace : traces) {
        const bool is_answered = trace.outcome == request_outcome::answered;
        const bool is_read = trace.kind == request_kind::read;
        ++summary.requests;
        summary.answered += is_answered ? 1 : 0;
        summary.not_run += trace.outcome == request_outcome::not_run ? 1 : 0;
        summary.outcome_unknown += trace.outcome == request_outcome::unknown ? 1 : 0;
        summary.no_answer += trace.outcome == request_outcome::no_answer ? 1 : 0;
        answered_reads += is_answered && is_read ? 1 : 0;
        replica_reads += is_answered && is_read && trace.is_replica ? 1 : 0;
        if (is_answered) {
            (is_read ? read_latencies_ms : write_latencies_ms).push_back(trace.latency_ms);
        } else {
            ++summary.reasons[trace.reason];
        }
    }
    summary.replica_read_share =
        answered_reads == 0 ? 0 : static_cast<double>(replica_reads) / static_cast<double>(answered_reads);
    summary.read_latency_ms = distribution_of(std::move(read_latencies_ms));
    summary.write_latency_ms = distribution_of(std::move(write_latencies_ms));
    summary.answered_per_second =
        static_cast<double>(summary.answered) * 1000 / static_cast<double>(duration.count());
    return summary;
}

std::vector<std::optional<milliseconds>> failover_gaps(const std::vector<request_trace>& traces,
                                                       const std::vector<server_failure>& losses)
{
    std::vector<std::optional<milliseconds>> gaps;
    for (const server_failure& loss : losses) {
        const group_name group{loss.server.value.substr(0, loss.server.value.rfind('-'))};
        std::optional<milliseconds> gap;
        for (const request_trace& trace : traces) {
            const bool is_first = trace.group == group && trace.kind != request_kind::read &&
                                  trace.outcome == request_outcome::answered && !trace.is_repeated &&
                                  trace.served_by != loss.server.value && trace.ended_at >= loss.failed_at;
            if (is_first && (!gap || trace.ended_at - loss.failed_at < *gap)) {
                gap = milliseconds{(trace.ended_at - loss.failed_at).count()};
            }
        }
        gaps.push_back(gap);
    }
    return gaps;
}

} // namespace hickorymount::load
