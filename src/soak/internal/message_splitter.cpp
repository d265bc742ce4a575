#include "soak/message_splitter.h"

namespace hickorymount::soak {

namespace {

constexpr std::string_view message_end = "\r\n";

} // namespace

std::optional<std::string> message_splitter::next()
{
    const std::size_t end = m_bytes.find(message_end, m_searched);
    if (end == std::string::npos) {
        m_searched = m_bytes.empty() ? 0 : m_bytes.size() - 1;
        return std::nullopt;
    }
    std::string message = m_bytes.substr(0, end);
    m_bytes.erase(0, end + message_end.size());
    m_searched = 0;
    return message;
}

} // namespace hickorymount::soak
