#pragma once

#include "sessions/types.h"

namespace hickorymount::sessions::detail {

/// A statement that waits for a connection.
struct waiting_statement
{
    session_number session = 0;
    /// It belongs to a transaction whose earlier statements have run.
    bool continues_transaction = false;
    std::uint32_t priority = 0;
    time_point received_at{};

    friend bool operator==(const waiting_statement&, const waiting_statement&) = default;
};

/// Who is served first. Answers to a burst: a transaction that is dropped halfway has wasted the slots it
/// used, so it goes first; then the class that operators rank highest; then the oldest.
bool goes_before(const waiting_statement& left, const waiting_statement& right);

/// With work that has waited longer than this, the line is not a passing one.
inline constexpr milliseconds overload_after{250};

/// The same while `oldest_wait` says that there is more work than can be done. Answers to: an overload that
/// lasts, in which the oldest first would mean that each is served just before its time is over, and most of
/// them in vain. The newest first are served in good time, and the rest is refused as it would be anyway.
bool goes_before_in_overload(const waiting_statement& left, const waiting_statement& right);
bool is_overloaded(milliseconds oldest_wait);

/// True when a statement that still waits can't be answered within its time limit any more; its caller is
/// told at once.
bool is_too_late(const pending_statement& waiting, time_point now);

} // namespace hickorymount::sessions::detail
