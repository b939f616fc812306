// baobabd, the router daemon: parses options, runs the daemon, sets the exit
// code.
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

constexpr int exit_cut = 1;
constexpr int exit_usage = 2;
constexpr int exit_start = 3;

constexpr const char* file_flag = "settings-file";
constexpr const char* file_variable = "BAOBAB_SETTINGS_FILE";

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "baobabd", "Routes chats and calls to upstreams, as one of a fleet.\n"
                   "Each flag has an environment variable BAOBAB_<FLAG>; the "
                   "flag goes first."};
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
    add(file_flag,
        "file with settings, which is read again on SIGHUP and on change "
        "[BAOBAB_SETTINGS_FILE]",
        cxxopts::value<std::string>(), "FILE");
    add("check-config", "check the settings and exit");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    return options;
}

/// Settings as given by flags, else variables, else the file.
std::vector<router::raw_setting>
collect_settings(const cxxopts::ParseResult& parsed,
                 const std::vector<router::raw_setting>& in_file)
{
    std::vector<router::raw_setting> given;
    for (const auto& row : router::setting_table())
    {
        const std::string flag{row.flag};
        const char* variable =
            std::getenv(router::environment_variable_of(row).c_str());
        const auto found = std::find_if(in_file.begin(), in_file.end(),
                                        [&flag](const auto& item)
                                        { return item.flag == flag; });
        if (parsed.count(flag) != 0)
            given.push_back({flag, parsed[flag].as<std::string>()});
        else if (variable != nullptr)
            given.push_back({flag, variable});
        else if (found != in_file.end())
            given.push_back(*found);
    }
    return given;
}

std::string file_of(const cxxopts::ParseResult& parsed)
{
    if (parsed.count(file_flag) != 0)
        return parsed[file_flag].as<std::string>();
    const char* variable = std::getenv(file_variable);
    return variable != nullptr ? variable : "";
}

/// Reads and checks the settings; every mistake goes to `mistakes`.
std::optional<router::settings>
read_settings(const cxxopts::ParseResult& parsed,
              std::vector<failure>& mistakes)
{
    std::vector<router::raw_setting> in_file;
    if (const auto path = file_of(parsed); !path.empty())
    {
        failure reason;
        std::vector<std::string> unknown;
        auto read = router::read_settings_file(path, unknown, reason);
        if (!read)
        {
            mistakes.push_back(reason);
            return std::nullopt;
        }
        in_file = std::move(*read);
        for (const auto& name : unknown)
            std::cerr << "baobabd: " << path << ": " << name
                      << " is no setting and is ignored\n";
    }
    return router::make_settings(collect_settings(parsed, in_file), mistakes);
}

template <typename Daemon>
int run_daemon(Daemon& daemon)
{
    failure reason;
    if (!daemon.start(reason))
    {
        std::cerr << "baobabd: " << reason.text() << '\n';
        return exit_start;
    }
    return daemon.run() ? EXIT_SUCCESS : exit_cut;
}

int run(const router::settings& settings, const cxxopts::ParseResult& parsed)
{
    router::start_logging(settings.log_level);
    if (!settings.directory)
    {
        router::daemon daemon{settings};
        return run_daemon(daemon);
    }
    const auto again = [&parsed]
    {
        std::vector<failure> mistakes;
        auto options = read_settings(parsed, mistakes);
        for (const auto& mistake : mistakes)
            router::log_event(router::log_level::error, "setting_rejected",
                              {{"reason", mistake.text()}});
        return options;
    };
    relay::relay_daemon daemon{settings, platform::make_adapter(),
                               file_of(parsed), again};
    return run_daemon(daemon);
}

int run_with(const cxxopts::Options& options,
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
    std::vector<failure> mistakes;
    const auto settings = read_settings(parsed, mistakes);
    for (const auto& mistake : mistakes)
        std::cerr << "baobabd: " << mistake.text() << '\n';
    if (!settings)
        return exit_usage;
    if (parsed.count("check-config") != 0)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run(*settings, parsed);
}

/// Until the daemon has its own handlers there is nothing to finish and
/// nothing to read again.
void handle_early_signals()
{
    std::signal(SIGTERM, [](int /*number*/) { _exit(EXIT_SUCCESS); });
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

int main(int argc, char** argv)
{
    handle_early_signals();
    // The parser reports mistakes by exceptions.
    try
    {
        auto options = make_options();
        return run_with(options, options.parse(argc, argv));
    }
    catch (const std::exception& error)
    {
        std::cerr << "baobabd: " << error.what() << " (see baobabd --help)\n";
        return exit_usage;
    }
}
