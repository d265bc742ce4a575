#include "app/settings_watch.h"
#include "command_line/command_line.h"
#include "gateway/entry_service.h"
#include "platform/session_wire.h"
#include "runtime/stop_signal.h"
#include "settings/types.h"

#include <cstdlib>

#include <fmt/format.h>

using namespace hickorymount;

namespace {

result<int> run(const std::vector<std::string>& arguments)
{
    std::string file;
    int checks_only = 0;
    command_line::command_line options("--settings FILE");
    options.add("settings", file, "the host's settings, in TOML", "FILE");
    options.add_flag("check", checks_only, "check the settings and exit");
    BOOST_LEAF_CHECK(options.parse(arguments));
    BOOST_LEAF_AUTO(text, settings::read_file(file));
    BOOST_LEAF_AUTO(own, settings::parse_entry_settings(text, file));
    if (checks_only != 0) {
        return EXIT_SUCCESS;
    }
    const runtime::stop_signal signal;
    BOOST_LEAF_AUTO(service, gateway::start_entry(own, platform::make_session_wire()));
    app::wait_for_stop(signal, file, text, settings::parse_entry_settings,
                       [&](const settings::entry_settings& changed) { service->reload(changed); });
    service->drain();
    service->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, char** values)
{
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "hickorymount-entryd: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
