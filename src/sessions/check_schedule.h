#pragma once

#include "base/millisecond_clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hickorymount::sessions {

/// What a scheduled check is about.
enum class check_subject
{
    /// The pending statement of a session.
    session,
    connection
};

/// A check of one session's statement or of one connection, due at a time.
struct scheduled_check
{
    time_point due_at{};
    check_subject subject = check_subject::session;
    std::uint64_t number = 0;

    friend auto operator<=>(const scheduled_check&, const scheduled_check&) = default;
    friend bool operator==(const scheduled_check&, const scheduled_check&) = default;
};

/// The scheduled checks as a heap, the earliest first. Checks that are no longer needed stay in it until they
/// are due or become the earliest; whoever takes them compares them with their subject.
class check_schedule
{
public:
    void add(const scheduled_check& check);
    /// The earliest check; nothing if there is none.
    [[nodiscard]] std::optional<scheduled_check> earliest() const;
    void remove_earliest();
    [[nodiscard]] std::size_t size() const { return m_heap.size(); }

    friend bool operator==(const check_schedule&, const check_schedule&) = default;

private:
    std::vector<scheduled_check> m_heap;
};

} // namespace hickorymount::sessions
