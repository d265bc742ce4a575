#include "sessions/internal/answer_match.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// Records a repeat, or a true answer that was due, without a signature.
void discard_unsigned(answer_history& history)
{
    --history.open_unsigned;
    history.doubt -= std::min(history.doubt, 1U);
}

/// How many of the answers that may still come could be mistaken for that to the unanswered statement.
std::uint32_t possible_mistakes(const answer_history& history, const answer_expectation& expected)
{
    // A repeat may carry the state of now. That is the expected one before the statement has run only if the
    // statement does not change it.
    if (!expected.changes_state || history.doubt > 0) {
        return history.open_unsigned;
    }
    const std::uint32_t alike =
        expected.state == transaction_state::none ? history.unsigned_outside : history.unsigned_inside;
    return std::min(alike, history.open_unsigned);
}

void accept_unsigned(answer_history& history, const answer_expectation& expected)
{
    if (expected.is_answered_once) {
        return;
    }
    history.doubt = possible_mistakes(history, expected) > 0 ? history.open_unsigned : 0;
    ++history.open_unsigned;
    ++(expected.state == transaction_state::none ? history.unsigned_outside : history.unsigned_inside);
}

answer_origin match_unsigned(answer_history& history, const answer_expectation& expected,
                             transaction_state state)
{
    if (expected.kind == expected_answer::without_signature && state == expected.state) {
        accept_unsigned(history, expected);
        return answer_origin::own;
    }
    if (history.open_unsigned == 0) {
        return answer_origin::foreign;
    }
    discard_unsigned(history);
    return answer_origin::repeat;
}

answer_origin match_signed(answer_history& history, const answer_expectation& expected,
                           const std::string& signature)
{
    const std::uint64_t digest = XXH3_64bits(signature.data(), signature.size());
    const auto place = std::lower_bound(history.signatures.begin(), history.signatures.end(), digest);
    if (place != history.signatures.end() && *place == digest) {
        return answer_origin::repeat;
    }
    if (expected.kind != expected_answer::with_signature) {
        return answer_origin::foreign;
    }
    history.signatures.insert(place, digest);
    history.doubt = 0;
    return answer_origin::own;
}

answer_origin match_refusal(answer_history& history, const answer_expectation& expected, response_code code)
{
    // By the protocol, statements whose answers have no signature take no slot, so that none is refused as
    // busy.
    const bool may_be_due = history.doubt > 0 && code != response_code::busy;
    if (expected.kind == expected_answer::nothing) {
        const bool is_repeat = !may_be_due && history.refusals.erase(code) > 0;
        return is_repeat ? answer_origin::repeat : answer_origin::foreign;
    }
    if (expected.is_answered_once) {
        return answer_origin::own;
    }
    if (may_be_due || !history.refusals.insert(code).second) {
        return answer_origin::ambiguous;
    }
    return answer_origin::own;
}

} // namespace

answer_expectation expectation_of(const server_connection& connection)
{
    answer_expectation expected;
    expected.is_answered_once = connection.is_relay;
    if (!connection.internal_statement) {
        const bool is_running = connection.stage == connection_stage::running;
        expected.kind = is_running ? expected_answer::with_signature : expected_answer::nothing;
        return expected;
    }
    expected.kind = expected_answer::without_signature;
    switch (connection.internal_statement->kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        expected.state = transaction_state::open;
        expected.changes_state = true;
        break;
    case statement_kind::rollback:
        expected.changes_state = true;
        break;
    default:
        expected.state = connection.is_in_transaction ? transaction_state::open : transaction_state::none;
        break;
    }
    return expected;
}

answer_match match_answer(answer_history history, const answer_expectation& expected,
                          const statement_response& response)
{
    answer_origin origin = answer_origin::own;
    if (response.code != response_code::done) {
        origin = match_refusal(history, expected, response.code);
    } else if (response.detail.empty()) {
        origin = match_unsigned(history, expected, response.state);
    } else {
        origin = match_signed(history, expected, response.detail);
    }
    return {origin, std::move(history)};
}

bool is_full(const answer_history& history)
{
    return history.signatures.size() >= max_known_signatures;
}

} // namespace hickorymount::sessions::detail

namespace hickorymount::sessions {

std::string_view to_string(answer_origin origin)
{
    switch (origin) {
    case answer_origin::own:
        return "own";
    case answer_origin::repeat:
        return "repeat";
    case answer_origin::ambiguous:
        return "ambiguous";
    case answer_origin::foreign:
        return "foreign";
    }
    return "unnamed";
}

} // namespace hickorymount::sessions
