#pragma once

#include "sessions/statement.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace hickorymount::sessions {

/// Signatures after which a connection is replaced once it is idle.
inline constexpr std::size_t max_known_signatures = 2048;

/// What has been answered on one connection to a backend server, as far as it tells later answers from
/// repeats of earlier ones. A server may answer a statement twice, the second time at any later moment.
struct answer_history
{
    /// Digests of the signatures, in ascending order.
    std::vector<std::uint64_t> signatures;
    /// Codes of refusals whose repeat may still come.
    std::set<response_code> refusals;
    /// Answers without a signature that may still come besides that to the unanswered statement.
    std::uint32_t open_unsigned = 0;
    /// Answers without a signature that were accepted so far, by the transaction state they came with.
    std::uint32_t unsigned_outside = 0;
    std::uint32_t unsigned_inside = 0;
    /// The last accepted answer without a signature may have been a repeat, and the true answer be due. Since
    /// a server answers in order, the doubt ends after this number of further answers without a signature,
    /// or with the next new signature.
    std::uint32_t doubt = 0;

    friend bool operator==(const answer_history&, const answer_history&) = default;
};

} // namespace hickorymount::sessions
