#include "command_line/command_line.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <popt.h>

namespace hickorymount::command_line {

command_line::command_line(std::string usage) : m_usage(std::move(usage)) {}

void command_line::add(const std::string& name, std::string& into, const std::string& help,
                       const std::string& value_name)
{
    m_options.push_back({name, help, value_name, kind::text, &into, nullptr, nullptr});
}

void command_line::add(const std::string& name, int& into, const std::string& help,
                       const std::string& value_name)
{
    m_options.push_back({name, help, value_name, kind::number, nullptr, &into, nullptr});
}

void command_line::add_flag(const std::string& name, int& into, const std::string& help)
{
    m_options.push_back({name, help, "", kind::flag, nullptr, &into, nullptr});
}

result<std::vector<std::string>> command_line::parse(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> table;
    for (option& each : m_options) {
        const bool is_text = each.what == kind::text;
        const unsigned type = is_text                     ? POPT_ARG_STRING
                              : each.what == kind::number ? POPT_ARG_INT
                                                          : POPT_ARG_NONE;
        void* const into = is_text ? static_cast<void*>(&each.parsed_text) : static_cast<void*>(each.number);
        const char* const value_name = each.value_name.empty() ? nullptr : each.value_name.c_str();
        table.push_back({each.name.c_str(), '\0', type, into, 0, each.help.c_str(), value_name});
    }
    std::vector<poptOption> help{
        {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr}};
    table.push_back(help.front());
    table.push_back(POPT_TABLEEND);
    std::vector<const char*> words;
    words.reserve(arguments.size());
    for (const std::string& each : arguments) {
        words.push_back(each.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(words.size()), words.data(), table.data(), 0),
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
    std::vector<std::string> rest;
    while (const char* word = poptGetArg(context.get())) {
        rest.emplace_back(word);
    }
    return rest;
}

std::vector<std::string> arguments_of(int count, char** values)
{
    return {values, values + count};
}

} // namespace hickorymount::command_line
