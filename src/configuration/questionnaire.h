#pragma once

#include "configuration/types.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickorymount::configuration {

using questionnaire_result = std::variant<configuration, std::vector<questionnaire_problem>>;

/// Generates the configuration from a questionnaire's TOML text, or lists everything wrong in it.
/// `file` is only named in the problems.
questionnaire_result generate(std::string_view toml_text, const std::string& file);

/// One line for each setting that differs, sorted by its path; empty when nothing does.
std::vector<std::string> differences(const configuration& before, const configuration& after);

} // namespace hickorymount::configuration
