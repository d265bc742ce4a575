#pragma once

#include "runtime/stop_signal.h"
#include "settings/types.h"

#include <string>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::app {

/// The settings file may change without a signal; it is looked at this often.
inline constexpr milliseconds settings_look_interval{2000};

/// Waits for the order to stop. Meanwhile hands settings that have changed to `apply`, parsed by `parse`;
/// settings that can't be used are logged and left.
template <class Parse, class Apply>
void wait_for_stop(const runtime::stop_signal& signal, const std::string& file, std::string text, Parse parse,
                   Apply apply)
{
    for (;;) {
        if (signal.wait_for(settings_look_interval) == runtime::signal_request::stop) {
            return;
        }
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(present, settings::read_file(file));
                if (present == text) {
                    return {};
                }
                text = present;
                BOOST_LEAF_AUTO(changed, parse(text, file));
                apply(changed);
                return {};
            },
            [](const failure& what) { fmt::print(stderr, "step=reload failed: {}\n", to_string(what)); });
    }
}

} // namespace hickorymount::app
