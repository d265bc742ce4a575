#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hickorymount::soak {

inline constexpr std::size_t max_message_bytes = std::size_t{1} << 20;

/// Splits bytes into messages of the session protocol, which end at CR LF only.
class message_splitter
{
public:
    explicit message_splitter(std::size_t max_bytes = max_message_bytes) : m_max_bytes(max_bytes) {}

    void append(std::string_view bytes) { m_bytes += bytes; }
    /// Removes and returns the first message, without its CR LF; empty when none is complete.
    std::optional<std::string> next();
    /// What remains is longer than a message may be.
    [[nodiscard]] bool is_too_long() const { return m_bytes.size() > m_max_bytes + 1; }

private:
    std::size_t m_max_bytes;
    std::string m_bytes;
    /// Length of the part of `m_bytes` that contains no CR LF.
    std::size_t m_searched = 0;
};

} // namespace hickorymount::soak
