#include "directory/reduce.h"

#include <algorithm>
#include <utility>

namespace hickorymount::directory {

namespace {

directory_transition without_result(directory_state state)
{
    return {std::move(state), no_result{}};
}

directory_state store_answer(directory_state state, const change_id& id, const change_answer& answer)
{
    state.change_answers = std::move(state.change_answers).set(id, answer);
    state.change_ids_by_age = std::move(state.change_ids_by_age).set(state.next_change_number++, id);
    if (state.change_ids_by_age.size() > max_remembered_changes) {
        const auto oldest = *state.change_ids_by_age.begin();
        state.change_answers = std::move(state.change_answers).erase(oldest.second);
        state.change_ids_by_age = std::move(state.change_ids_by_age).erase(oldest.first);
    }
    return state;
}

directory_transition apply(directory_state state, const change_configuration& change)
{
    if (const change_answer* earlier = state.change_answers.find(change.id)) {
        return {state, *earlier};
    }
    const configuration_version current = state.configuration->version;
    if (change.base != current) {
        const change_answer answer{change_outcome::conflict, current};
        return {store_answer(std::move(state), change.id, answer), answer};
    }
    state.configuration = shared_value(configuration::versioned_configuration{current + 1, change.content});
    const change_answer answer{change_outcome::accepted, current + 1};
    return {store_answer(std::move(state), change.id, answer), answer};
}

directory_transition apply(directory_state state, const replace_configuration& replacement)
{
    if (replacement.version > state.configuration->version && !replacement.is_repeated) {
        state.configuration =
            shared_value(configuration::versioned_configuration{replacement.version, replacement.content});
    }
    const change_answer answer{change_outcome::accepted, state.configuration->version};
    return {std::move(state), answer};
}

directory_transition apply(directory_state state, const register_server& registered)
{
    state.servers = std::move(state.servers).set(registered.name, registered.record);
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const unregister_server& unregistered)
{
    state.servers = std::move(state.servers).erase(unregistered.name);
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const admit_entry_host& admitted)
{
    state.entry_hosts =
        std::move(state.entry_hosts).set(admitted.entry, entry_record{admitted.zone, admitted.relay_address});
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const dismiss_entry_host& dismissed)
{
    if (!state.entry_hosts.contains(dismissed.entry)) {
        return without_result(std::move(state));
    }
    state.entry_hosts = std::move(state.entry_hosts).erase(dismissed.entry);
    const shared_map<group_name, group_record> groups = state.groups;
    for (const auto& [name, record] : groups) {
        const departed_commits* known = state.departed.find(name);
        departed_commits commits = known == nullptr ? departed_commits{} : *known;
        if (!dismissed.acknowledged) {
            ++commits.unreported;
        } else if (const auto own = dismissed.acknowledged->find(name);
                   own != dismissed.acknowledged->end()) {
            commits.position = std::max(commits.position, own->second);
        } else {
            continue;
        }
        state.departed = std::move(state.departed).set(name, commits);
    }
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const bound_departed_commits& bound)
{
    const group_record* record = state.groups.find(bound.group);
    const departed_commits* known = state.departed.find(bound.group);
    if (record == nullptr || record->term != bound.term || known == nullptr) {
        return without_result(std::move(state));
    }
    departed_commits commits = *known;
    commits.position = std::max(commits.position, bound.position);
    commits.bounded = std::max(commits.bounded, bound.unreported);
    state.departed = std::move(state.departed).set(bound.group, commits);
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const open_term& opened)
{
    const group_record* known = state.groups.find(opened.group);
    group_record record = known == nullptr ? group_record{} : *known;
    const bool is_first_term = known == nullptr;
    const bool is_named_candidate = record.phase == group_phase::promoting &&
                                    record.last_candidate_term == opened.term &&
                                    record.candidate == opened.primary;
    if (!is_first_term && !is_named_candidate) {
        return without_result(std::move(state));
    }
    record.phase = group_phase::open;
    record.term = opened.term;
    record.primary = opened.primary;
    record.last_candidate_term = opened.term;
    record.candidate = {};
    record.term_starts.push_back({opened.term, opened.start});
    if (record.term_starts.size() > max_term_starts) {
        record.term_starts.erase(record.term_starts.begin());
    }
    state.groups = std::move(state.groups).set(opened.group, std::move(record));
    // The new primary's log contains all commits acknowledged in earlier terms.
    state.departed = std::move(state.departed).erase(opened.group);
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const close_term& closed)
{
    const group_record* known = state.groups.find(closed.group);
    if (known == nullptr || known->phase != group_phase::open || known->term != closed.term) {
        return without_result(std::move(state));
    }
    group_record record = *known;
    record.phase = group_phase::closed;
    state.groups = std::move(state.groups).set(closed.group, std::move(record));
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const name_candidate& named)
{
    const group_record* known = state.groups.find(named.group);
    if (known == nullptr || known->phase == group_phase::open || named.term <= known->last_candidate_term) {
        return without_result(std::move(state));
    }
    group_record record = *known;
    record.phase = group_phase::promoting;
    record.last_candidate_term = named.term;
    record.candidate = named.candidate;
    state.groups = std::move(state.groups).set(named.group, std::move(record));
    return without_result(std::move(state));
}

claim_result answer_repeated_claim(const claim_record& known, const create_claim& request)
{
    if (known.statement_hash != request.statement_hash) {
        return {claim_outcome::key_reused, std::nullopt};
    }
    if (known.answer) {
        return {claim_outcome::answered, known.answer};
    }
    // The holder resends a claim only while the outcome is missing, and before its statement runs.
    if (known.holder == request.holder) {
        return {claim_outcome::granted, std::nullopt};
    }
    return {claim_outcome::outcome_unknown, std::nullopt};
}

directory_transition apply(directory_state state, const create_claim& request)
{
    const claim_record* known = state.claims.find(request.key);
    if (known != nullptr && known->expires_at > request.claimed_at) {
        return {state, answer_repeated_claim(*known, request)};
    }
    claim_record record{.holder = request.holder,
                        .statement_hash = request.statement_hash,
                        .claimed_at = request.claimed_at,
                        .expires_at = request.claimed_at + request.retention,
                        .answer = std::nullopt};
    state.claims = std::move(state.claims).set(request.key, std::move(record));
    return {std::move(state), claim_result{claim_outcome::granted, std::nullopt}};
}

/// Finds the claim of `key` by `holder` that has no recorded answer; null without such a claim.
const claim_record* find_unanswered_claim(const directory_state& state, const claim_key& key,
                                          const claim_holder& holder)
{
    const claim_record* known = state.claims.find(key);
    return known != nullptr && known->holder == holder && !known->answer ? known : nullptr;
}

directory_transition apply(directory_state state, const record_answer& recorded)
{
    const claim_record* known = find_unanswered_claim(state, recorded.key, recorded.holder);
    if (known == nullptr) {
        return without_result(std::move(state));
    }
    claim_record record = *known;
    record.answer = recorded.answer;
    state.claims = std::move(state.claims).set(recorded.key, std::move(record));
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const withdraw_claim& withdrawn)
{
    if (find_unanswered_claim(state, withdrawn.key, withdrawn.holder) != nullptr) {
        state.claims = std::move(state.claims).erase(withdrawn.key);
    }
    return without_result(std::move(state));
}

directory_transition apply(directory_state state, const expire_claims& expiry)
{
    shared_map<claim_key, claim_record> unexpired;
    for (const auto& [key, record] : state.claims) {
        if (record.expires_at > expiry.now) {
            unexpired = std::move(unexpired).set(key, record);
        }
    }
    state.claims = std::move(unexpired);
    return without_result(std::move(state));
}

} // namespace

directory_transition reduce(directory_state state, const command& committed)
{
    return std::visit([&](const auto& content) { return apply(std::move(state), content); }, committed);
}

} // namespace hickorymount::directory
