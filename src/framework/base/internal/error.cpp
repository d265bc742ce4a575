#include "base/error.h"

namespace hickorymount {

std::string to_string(const failure& what)
{
    std::string text = what.step + ": " + what.reason;
    if (!what.peer.empty()) {
        text += " (" + what.peer + ")";
    }
    return text;
}

} // namespace hickorymount
