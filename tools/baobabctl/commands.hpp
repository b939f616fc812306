// The commands of baobabctl. Each prints its result and returns an exit code.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::ctl
{

/// Exit codes of the program.
inline constexpr int exit_ok = 0;
/// The command failed, or it ran with a negative result, for example: presets
/// differ, a preset is invalid, a router is not ready or does not have the
/// change yet.
inline constexpr int exit_negative = 1;
inline constexpr int exit_usage = 2;
/// The key-value service cannot be reached, or no router was found for a
/// report.
inline constexpr int exit_unavailable = 3;
/// Another operator's change was accepted first.
inline constexpr int exit_conflict = 4;

/// Options and arguments of one command.
struct command_context
{
    /// Base URL of the platform's key-value service.
    std::string kv_url;
    /// Base URLs of some routers of the fleet.
    std::vector<std::string> routers;
    /// Operator token, or empty.
    std::string token;
    /// Name recorded with a change.
    std::string author;
    /// File for a report, or empty for standard output.
    std::string output_file;
    /// Customer and prompt parts of the request that `where` asks about.
    std::string customer;
    std::string prompt;
    bool json = false;
    bool html = false;
    /// Wait until a change is in force at every live router.
    bool wait = false;
    unsigned wait_s = 10;
    /// Positional arguments after the name of the command.
    std::vector<std::string> arguments;
};

/// A command and its usage.
struct command_definition
{
    /// One or two words, for example "preset check".
    std::string_view name;
    /// Placeholders of the arguments in the usage text.
    std::string_view arguments;
    std::string_view help;
    std::size_t min_arguments;
    std::size_t max_arguments;
    int (*run)(const command_context&);
};

/// Returns all commands, in the order of the help text.
const std::vector<command_definition>& command_table();

} // namespace baobabloft::ctl
