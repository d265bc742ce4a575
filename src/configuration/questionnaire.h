#pragma once

#include "configuration/types.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickorymount::configuration {

/// The configuration, or the problems that prevent its generation.
using questionnaire_result = std::variant<configuration, std::vector<questionnaire_problem>>;

/// Generates the configuration from a questionnaire's TOML text, or returns all problems found in the text.
/// `file` is the file name that the problems give.
questionnaire_result generate(std::string_view toml_text, const std::string& file);

/// Returns one line `path: old -> new` for each setting that differs, sorted; empty when the two are equal.
std::vector<std::string> differences(const configuration& before, const configuration& after);

} // namespace hickorymount::configuration
