// baobabd, the router daemon: parses the options, runs the daemon and returns
// its exit code.
#include "baobabloft/router/daemon.hpp"
#include "baobabloft/router/log.hpp"

#include "platform/adapter.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace
{

using namespace baobabloft;

/// Requests in progress were aborted at shutdown.
constexpr int exit_requests_aborted = 1;
constexpr int exit_usage = 2;
/// The daemon could not start.
constexpr int exit_start_failed = 3;

constexpr const char* settings_file_flag = "settings-file";
constexpr const char* settings_file_variable = "BAOBAB_SETTINGS_FILE";

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "baobabd",
        "Routes chats and calls to upstreams, as one router of a fleet.\n"
        "Each flag has an environment variable BAOBAB_<FLAG>; the "
        "flag takes precedence."};
    auto add = options.add_options();
    for (const auto& row : router::setting_table())
    {
        auto help =
            std::string{row.help} + " [" + router::environment_variable_of(row);
        if (row.required)
            help += ", required]";
        else if (!row.default_text.empty())
            help += ", default " + std::string{row.default_text} + "]";
        else
            help += "]";
        add(std::string{row.flag}, help, cxxopts::value<std::string>(),
            std::string{row.value_name});
    }
    add(settings_file_flag,
        "file with settings, read again on SIGHUP and when it changes "
        "[BAOBAB_SETTINGS_FILE]",
        cxxopts::value<std::string>(), "FILE");
    add("check-config", "check the settings and exit");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    return options;
}

/// Collects the settings. For each one, the flag takes precedence over the
/// environment variable, and the variable over the file.
std::vector<router::raw_setting>
collect_settings(const cxxopts::ParseResult& parsed,
                 const std::vector<router::raw_setting>& file_settings)
{
    std::vector<router::raw_setting> result;
    for (const auto& row : router::setting_table())
    {
        const std::string flag{row.flag};
        const char* variable =
            std::getenv(router::environment_variable_of(row).c_str());
        const auto found = std::find_if(
            file_settings.begin(), file_settings.end(),
            [&flag](const auto& item) { return item.flag == flag; });
        if (parsed.count(flag) != 0)
            result.push_back({flag, parsed[flag].as<std::string>()});
        else if (variable != nullptr)
            result.push_back({flag, variable});
        else if (found != file_settings.end())
            result.push_back(*found);
    }
    return result;
}

/// Returns the path of the settings file, or an empty string if none is set.
std::string settings_file_of(const cxxopts::ParseResult& parsed)
{
    if (parsed.count(settings_file_flag) != 0)
        return parsed[settings_file_flag].as<std::string>();
    const char* variable = std::getenv(settings_file_variable);
    return variable != nullptr ? variable : "";
}

/// Reads and checks the settings. Appends every error found to `errors`.
std::optional<router::settings>
read_settings(const cxxopts::ParseResult& parsed, std::vector<failure>& errors)
{
    std::vector<router::raw_setting> file_settings;
    if (const auto path = settings_file_of(parsed); !path.empty())
    {
        failure reason;
        std::vector<std::string> unknown;
        auto read = router::read_settings_file(path, unknown, reason);
        if (!read)
        {
            errors.push_back(reason);
            return std::nullopt;
        }
        file_settings = std::move(*read);
        for (const auto& name : unknown)
            std::cerr << "baobabd: " << path << ": " << name
                      << " is not a known setting and is ignored\n";
    }
    return router::make_settings(collect_settings(parsed, file_settings),
                                 errors);
}

template <typename Daemon>
int run_daemon(Daemon& daemon)
{
    failure reason;
    if (!daemon.start(reason))
    {
        std::cerr << "baobabd: " << reason.text() << '\n';
        return exit_start_failed;
    }
    return daemon.run() ? EXIT_SUCCESS : exit_requests_aborted;
}

/// Runs a relay if a directory is configured, else a router with its own fleet
/// node.
int run(const router::settings& settings, const cxxopts::ParseResult& parsed)
{
    router::start_logging(settings.log_level);
    if (!settings.directory)
    {
        router::daemon daemon{settings};
        return run_daemon(daemon);
    }
    const auto reload_settings = [&parsed]
    {
        std::vector<failure> errors;
        auto options = read_settings(parsed, errors);
        for (const auto& error : errors)
            router::log_event(router::log_level::error, "setting_rejected",
                              {{"reason", error.text()}});
        return options;
    };
    relay::relay_daemon daemon{settings, platform::make_adapter(),
                               settings_file_of(parsed), reload_settings};
    return run_daemon(daemon);
}

int run_command_line(const cxxopts::Options& options,
                     const cxxopts::ParseResult& parsed)
{
    if (parsed.count("help") != 0)
    {
        std::cout << options.help() << '\n';
        return EXIT_SUCCESS;
    }
    if (parsed.count("version") != 0)
    {
        std::cout << "baobabd " << BAOBAB_VERSION << '\n';
        return EXIT_SUCCESS;
    }
    std::vector<failure> errors;
    const auto settings = read_settings(parsed, errors);
    for (const auto& error : errors)
        std::cerr << "baobabd: " << error.text() << '\n';
    if (!settings)
        return exit_usage;
    if (parsed.count("check-config") != 0)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run(*settings, parsed);
}

/// Sets the signal handlers for the time until the daemon installs its own. No
/// request is in progress yet, so SIGTERM exits at once, and SIGHUP has nothing
/// to reload.
void install_startup_signal_handlers()
{
    std::signal(SIGTERM, [](int /*number*/) { _exit(EXIT_SUCCESS); });
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

int main(int argc, char** argv)
{
    install_startup_signal_handlers();
    // cxxopts reports usage errors by exceptions.
    try
    {
        auto options = make_options();
        return run_command_line(options, options.parse(argc, argv));
    }
    catch (const std::exception& error)
    {
        std::cerr << "baobabd: " << error.what() << " (see baobabd --help)\n";
        return exit_usage;
    }
}
