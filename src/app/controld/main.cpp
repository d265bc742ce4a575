#include "app/settings_watch.h"
#include "command_line/command_line.h"
#include "gateway/control_service.h"
#include "platform/control_pages.h"
#include "platform/promotion_call.h"
#include "runtime/stop_signal.h"
#include "settings/types.h"

#include <csignal>
#include <cstdlib>

#include <fmt/format.h>
#include <unistd.h>

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
    BOOST_LEAF_AUTO(own, settings::parse_control_settings(text, file));
    if (checks_only != 0) {
        return EXIT_SUCCESS;
    }
    const runtime::stop_signal signal;
    // After a failed write nothing this process believes to be on disk can be trusted.
    BOOST_LEAF_AUTO(service, gateway::start_control(
                                 own, [] { _exit(EXIT_FAILURE); }, platform::make_control_pages(),
                                 platform::make_promotion_caller(own)));
    app::wait_for_stop(signal, file, text, settings::parse_control_settings,
                       [&](const settings::control_settings& changed) { service->reload(changed); });
    service->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, char** values)
{
    return handle_failure([&] { return run(command_line::arguments_of(count, values)); },
                          [](const failure& what) {
                              fmt::print(stderr, "hickorymount-controld: {}\n", to_string(what));
                              return EXIT_FAILURE;
                          });
}
