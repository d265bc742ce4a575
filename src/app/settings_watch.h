#pragma once

#include "runtime/signal_waiter.h"
#include "settings/types.h"

#include <string>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::app {

/// Interval between checks of the settings file, which may change without a reload signal.
inline constexpr milliseconds settings_poll_interval{2000};

/// Blocks until `signal` reports a stop request. Rereads the settings file on a reload request and at each
/// `settings_poll_interval`; when its text differs from `last_text`, passes the settings that `parse` returns
/// to `apply`. A file that can't be read or parsed is logged, and the previous settings stay in use.
template <class Parse, class Apply>
void reload_settings_until_stop(const runtime::signal_waiter& signal, const std::string& settings_file,
                                std::string last_text, Parse parse, Apply apply)
{
    for (;;) {
        if (signal.wait_for(settings_poll_interval) == runtime::signal_request::stop) {
            return;
        }
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(current_text, settings::read_file(settings_file));
                if (current_text == last_text) {
                    return {};
                }
                last_text = current_text;
                BOOST_LEAF_AUTO(changed, parse(last_text, settings_file));
                apply(changed);
                return {};
            },
            [](const failure& error) { fmt::print(stderr, "step=reload failed: {}\n", to_string(error)); });
    }
}

} // namespace hickorymount::app
