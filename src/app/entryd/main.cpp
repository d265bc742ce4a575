#include "app/memory_options.h"
#include "app/settings_watch.h"
#include "command_line/option_parser.h"
#include "gateway/entry_service.h"
#include "platform/session_codec.h"
#include "runtime/signal_waiter.h"
#include "settings/types.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

result<int> run(const std::vector<std::string>& arguments)
{
    std::string settings_file;
    int check_only = 0;
    command_line::option_parser options("--settings FILE");
    options.add("settings", settings_file, "the host's settings file, in TOML", "FILE");
    options.add_flag("check", check_only, "validate the settings file and exit");
    BOOST_LEAF_CHECK(options.parse(arguments));
    BOOST_LEAF_AUTO(settings_text, settings::read_file(settings_file));
    BOOST_LEAF_AUTO(host_settings, settings::parse_entry_settings(settings_text, settings_file));
    if (check_only != 0) {
        return EXIT_SUCCESS;
    }
    const runtime::signal_waiter signal;
    BOOST_LEAF_AUTO(service, gateway::start_entry_service(host_settings, platform::make_session_codec()));
    app::reload_settings_until_stop(
        signal, settings_file, settings_text, settings::parse_entry_settings,
        [&](const settings::entry_settings& changed) { service->reload(changed); });
    service->drain();
    service->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    app::return_large_blocks();
    return handle_failure([&] { return run(command_line::to_argument_list(argc, argv)); },
                          [](const failure& error) {
                              fmt::print(stderr, "hickorymount-entryd: {}\n", to_string(error));
                              return EXIT_FAILURE;
                          });
}
