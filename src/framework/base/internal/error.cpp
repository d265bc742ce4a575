#include "base/error.h"

namespace hickorymount {

std::string to_string(const failure& error)
{
    std::string text = error.step + ": " + error.reason;
    if (!error.peer.empty()) {
        text += " (" + error.peer + ")";
    }
    return text;
}

} // namespace hickorymount
