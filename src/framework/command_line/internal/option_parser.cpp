#include "command_line/option_parser.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <popt.h>

namespace hickorymount::command_line {

option_parser::option_parser(std::string usage) : m_usage(std::move(usage)) {}

void option_parser::add(const std::string& name, std::string& target, const std::string& help,
                        const std::string& value_name)
{
    m_options.push_back({name, help, value_name, option_kind::text, &target, nullptr, nullptr});
}

void option_parser::add(const std::string& name, int& target, const std::string& help,
                        const std::string& value_name)
{
    m_options.push_back({name, help, value_name, option_kind::number, nullptr, &target, nullptr});
}

void option_parser::add_flag(const std::string& name, int& target, const std::string& help)
{
    m_options.push_back({name, help, "", option_kind::flag, nullptr, &target, nullptr});
}

result<std::vector<std::string>> option_parser::parse(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> table;
    for (option& each : m_options) {
        const bool is_text = each.kind == option_kind::text;
        const unsigned type = is_text                            ? POPT_ARG_STRING
                              : each.kind == option_kind::number ? POPT_ARG_INT
                                                                 : POPT_ARG_NONE;
        void* const target =
            is_text ? static_cast<void*>(&each.parsed_text) : static_cast<void*>(each.number);
        const char* const value_name = each.value_name.empty() ? nullptr : each.value_name.c_str();
        table.push_back({each.name.c_str(), '\0', type, target, 0, each.help.c_str(), value_name});
    }
    std::vector<poptOption> help{
        {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr}};
    table.push_back(help.front());
    table.push_back(POPT_TABLEEND);
    std::vector<const char*> argument_pointers;
    argument_pointers.reserve(arguments.size());
    for (const std::string& each : arguments) {
        argument_pointers.push_back(each.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(argument_pointers.size()), argument_pointers.data(),
                       table.data(), 0),
        &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), m_usage.c_str());
    const int status = poptGetNextOpt(context.get());
    if (status < -1) {
        return fail("command_line", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                    poptStrerror(status));
    }
    for (option& each : m_options) {
        if (each.parsed_text != nullptr) {
            *each.text = each.parsed_text;
            std::free(each.parsed_text); // NOLINT(cppcoreguidelines-no-malloc): popt allocates with malloc.
        }
    }
    std::vector<std::string> positional_arguments;
    while (const char* argument = poptGetArg(context.get())) {
        positional_arguments.emplace_back(argument);
    }
    return positional_arguments;
}

std::vector<std::string> to_argument_list(int count, char** values)
{
    return {values, values + count};
}

} // namespace hickorymount::command_line
