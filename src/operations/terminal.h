#pragma once

#include "codec/json_codec.h"

#include <string>
#include <string_view>

namespace hickorymount::operations {

/// The text as one line. Control characters, which may come from a file or a host, are escaped.
std::string terminal_line(std::string_view text);

/// The document as indented JSON in ASCII, so that no character of it acts on a terminal.
std::string terminal_document(const codec::json& document);

} // namespace hickorymount::operations
