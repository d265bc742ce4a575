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

/// True when a statement that still waits can't be answered within its time limit any more; its caller is
/// told at once.
bool is_too_late(const pending_statement& waiting, time_point now);

} // namespace hickorymount::sessions::detail
