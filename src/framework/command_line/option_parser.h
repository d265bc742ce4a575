#pragma once

#include "base/error.h"

#include <list>
#include <string>
#include <vector>

namespace hickorymount::command_line {

/// Parses the options of one command with popt. `--help` and `--usage` print the help and end the process.
class option_parser
{
public:
    /// `usage` is shown after the program's name in the help, such as "[OPTION…] FILE".
    explicit option_parser(std::string usage);

    /// Adds `--name VALUE`. `target` keeps its value when the option is absent.
    void add(const std::string& name, std::string& target, const std::string& help,
             const std::string& value_name);
    void add(const std::string& name, int& target, const std::string& help, const std::string& value_name);
    /// Adds a flag that sets `target` to 1.
    void add_flag(const std::string& name, int& target, const std::string& help);

    /// Parses the arguments and returns the positional ones. Errors: an unknown option or an invalid value.
    result<std::vector<std::string>> parse(const std::vector<std::string>& arguments);

private:
    enum class option_kind
    {
        text,
        number,
        flag
    };

    struct option
    {
        std::string name;
        std::string help;
        std::string value_name;
        option_kind kind = option_kind::text;
        std::string* text = nullptr;
        int* number = nullptr;
        char* parsed_text = nullptr;
    };

    std::string m_usage;
    std::list<option> m_options;
};

/// Converts the arguments of `main`; the first is the program's name.
std::vector<std::string> to_argument_list(int count, char** values);

} // namespace hickorymount::command_line
