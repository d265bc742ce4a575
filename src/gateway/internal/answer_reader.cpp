#include "gateway/internal/answer_reader.h"

#include <string_view>
#include <utility>
#include <variant>

namespace hickorymount::gateway::detail {

namespace {

/// Stands for the signature in an answer that has none.
constexpr std::string_view no_signature = "-";

read_step append_refusal(partial_answer& answer, sessions::error_line&& refusal)
{
    if (answer.has_outcome) {
        return read_step::unreadable;
    }
    answer.response = {{}, refusal.code, std::move(refusal.detail), {}, {}};
    if (!answer.is_open) {
        return read_step::refused;
    }
    answer.has_outcome = true;
    return read_step::incomplete;
}

read_step append_state(partial_answer& answer, const sessions::ready_line& ready)
{
    if (!answer.is_open) {
        answer.is_open = true;
        return read_step::opened;
    }
    if (!answer.has_outcome) {
        return answer.response.rows.empty() ? read_step::opened_again : read_step::unreadable;
    }
    answer.response.state = ready.state;
    answer.response.position = ready.position;
    return read_step::answered;
}

} // namespace

read_step append(partial_answer& answer, sessions::server_line message)
{
    if (auto* refusal = std::get_if<sessions::error_line>(&message)) {
        return append_refusal(answer, std::move(*refusal));
    }
    if (const auto* ready = std::get_if<sessions::ready_line>(&message)) {
        return append_state(answer, *ready);
    }
    if (!answer.is_open || answer.has_outcome) {
        return read_step::unreadable;
    }
    if (auto* row = std::get_if<sessions::row_line>(&message)) {
        answer.response.rows.push_back(std::move(row->text));
        return read_step::incomplete;
    }
    if (auto* done = std::get_if<sessions::done_line>(&message)) {
        answer.response.code = sessions::response_code::done;
        answer.response.detail = done->signature == no_signature ? "" : std::move(done->signature);
        answer.has_outcome = true;
        return read_step::incomplete;
    }
    return read_step::unreadable;
}

} // namespace hickorymount::gateway::detail
