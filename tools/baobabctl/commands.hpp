// The operators' commands: each prints its result and returns an exit code.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::ctl
{

/// Exit codes.
inline constexpr int exit_ok = 0;
/// The command ran, and its answer is no: differences, laggards, mistakes.
inline constexpr int exit_negative = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_unavailable = 3;
inline constexpr int exit_conflict = 4;

/// What every command may use.
struct command_context
{
    std::string kv_url;
    std::vector<std::string> routers;
    std::string token;
    std::string author;
    std::string output_file;
    bool json = false;
    bool html = false;
    bool wait = false;
    unsigned wait_s = 10;
    /// Positional arguments behind the command's words.
    std::vector<std::string> arguments;
};

/// One command of the table.
struct command_definition
{
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    std::size_t min_arguments;
    std::size_t max_arguments;
    int (*run)(const command_context&);
};

/// Returns the table of commands.
const std::vector<command_definition>& command_table();

} // namespace baobabloft::ctl
