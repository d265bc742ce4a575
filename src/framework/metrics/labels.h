#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace hickorymount::metrics {

/// Labels in the text exposition format, such as `class="booking",outcome="answered"`. Values may be any
/// text.
std::string labels(std::initializer_list<std::pair<std::string_view, std::string_view>> values);

} // namespace hickorymount::metrics
