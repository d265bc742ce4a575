#include "operations/terminal.h"

#include "base/names.h"

namespace hickorymount::operations {

namespace {

constexpr int indentation = 2;

} // namespace

std::string terminal_line(std::string_view text)
{
    return without_control_characters(text) + "\n";
}

std::string terminal_document(const codec::json& document)
{
    return document.dump(indentation, ' ', true, codec::json::error_handler_t::replace) + "\n";
}

} // namespace hickorymount::operations
