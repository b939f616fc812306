// baobabd, the router daemon: parses options, runs the daemon, sets the exit
// code.
#include "baobabloft/router/daemon.hpp"
#include "baobabloft/router/log.hpp"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace baobabloft;

constexpr int exit_cut = 1;
constexpr int exit_usage = 2;
constexpr int exit_start = 3;

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "baobabd", "Routes chats and calls to upstreams, as one of a fleet.\n"
                   "Each flag has an environment variable BAOBAB_<FLAG>; the "
                   "flag goes first."};
    auto add = options.add_options();
    for (const auto& row : router::setting_table())
    {
        auto help = std::string{row.help} + " [" + router::variable_of(row);
        if (row.required)
            help += ", required]";
        else if (!row.initial.empty())
            help += ", default " + std::string{row.initial} + "]";
        else
            help += "]";
        add(std::string{row.flag}, help, cxxopts::value<std::string>(),
            std::string{row.value});
    }
    add("check-config", "check the settings and exit");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    return options;
}

std::vector<router::given_setting>
collect_settings(const cxxopts::ParseResult& parsed)
{
    std::vector<router::given_setting> given;
    for (const auto& row : router::setting_table())
    {
        const std::string flag{row.flag};
        const char* variable = std::getenv(router::variable_of(row).c_str());
        if (parsed.count(flag) != 0)
            given.push_back({flag, parsed[flag].as<std::string>()});
        else if (variable != nullptr)
            given.push_back({flag, variable});
    }
    return given;
}

int run(const router::settings& settings)
{
    router::start_logging(settings.log_level);
    router::daemon daemon{settings};
    failure reason;
    if (!daemon.start(reason))
    {
        std::cerr << "baobabd: " << reason.text() << '\n';
        return exit_start;
    }
    return daemon.run() ? EXIT_SUCCESS : exit_cut;
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
    const auto settings =
        router::make_settings(collect_settings(parsed), mistakes);
    for (const auto& mistake : mistakes)
        std::cerr << "baobabd: " << mistake.text() << '\n';
    if (!settings)
        return exit_usage;
    if (parsed.count("check-config") != 0)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run(*settings);
}

} // namespace

int main(int argc, char** argv)
{
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
