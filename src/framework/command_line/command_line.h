#pragma once

#include "base/error.h"

#include <list>
#include <string>
#include <vector>

namespace hickorymount::command_line {

/// One command's options, parsed by popt. `--help` and `--usage` print and exit.
class command_line
{
public:
    /// `usage` follows the program's name in the help, such as "[OPTION…] FILE".
    explicit command_line(std::string usage);

    /// Adds `--name VALUE`. `into` keeps its value when the option is absent.
    void add(const std::string& name, std::string& into, const std::string& help,
             const std::string& value_name);
    void add(const std::string& name, int& into, const std::string& help, const std::string& value_name);
    /// Adds a flag, 0 or 1.
    void add_flag(const std::string& name, int& into, const std::string& help);

    /// Parses and returns what is left. Errors: an unknown option or a bad value.
    result<std::vector<std::string>> parse(const std::vector<std::string>& arguments);

private:
    enum class kind
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
        kind what = kind::text;
        std::string* text = nullptr;
        int* number = nullptr;
        char* parsed_text = nullptr;
    };

    std::string m_usage;
    std::list<option> m_options;
};

/// The arguments of `main`, the program's name first.
std::vector<std::string> arguments_of(int count, char** values);

} // namespace hickorymount::command_line
