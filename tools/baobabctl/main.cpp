// baobabctl, the command-line program for operators: parses the options and
// runs one command.
#include "commands.hpp"

#include <cxxopts.hpp>
#include <glib.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace baobabloft::ctl;

/// Returns the environment variable `name`, or `fallback` if it is not set.
std::string from_environment(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name);
    return value != nullptr ? value : fallback;
}

/// Splits `text` at commas and drops empty parts.
std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

cxxopts::Options make_options()
{
    cxxopts::Options options{"baobabctl",
                             "Inspects and operates a baobabloft fleet."};
    auto add = options.add_options();
    add("kv-url",
        "base URL of the platform's key-value service [BAOBAB_KV_URL]",
        cxxopts::value<std::string>(), "URL");
    add("router", "base URLs of some routers [BAOBAB_ROUTERS]",
        cxxopts::value<std::string>(), "URL,...");
    add("token", "operator token [BAOBAB_OPERATOR_TOKEN]",
        cxxopts::value<std::string>(), "TOKEN");
    add("author", "name recorded with a change [BAOBAB_AUTHOR, default $USER]",
        cxxopts::value<std::string>(), "NAME");
    add("output", "output format: text, json, or html (reports only)",
        cxxopts::value<std::string>()->default_value("text"), "FORM");
    add("customer", "customer of the request (where)",
        cxxopts::value<std::string>(), "NAME");
    add("prompt", "prompt parts of the request (where)",
        cxxopts::value<std::string>(), "ID:TOKENS,...");
    add("json", "same as --output json");
    add("out", "write the report to a file", cxxopts::value<std::string>(),
        "FILE");
    add("wait", "wait until a change is in force at every live router");
    add("wait-seconds", "longest time to wait with --wait",
        cxxopts::value<unsigned>()->default_value("10"), "SECONDS");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help({""}) << "\nCommands:\n";
    for (const auto& row : command_table())
    {
        std::string usage{row.name};
        if (!row.arguments.empty())
            usage += " " + std::string{row.arguments};
        usage.resize(std::max<std::size_t>(usage.size(), 30), ' ');
        std::cout << "  " << usage << ' ' << row.help << '\n';
    }
    std::cout << "\nExit codes: 0 success, 1 failure or negative result, 2 "
                 "usage error,\n3 a service is unavailable, 4 conflict with "
                 "another operator's change.\n";
}

/// Returns the value of option `flag`, or `fallback` if it is absent.
std::string option_value(const cxxopts::ParseResult& parsed, const char* flag,
                         const std::string& fallback)
{
    return parsed.count(flag) != 0 ? parsed[flag].as<std::string>() : fallback;
}

command_context make_context(const cxxopts::ParseResult& parsed)
{
    command_context context;
    context.kv_url = option_value(
        parsed, "kv-url",
        from_environment("BAOBAB_KV_URL", "http://127.0.0.1:2379"));
    context.routers = split(option_value(
        parsed, "router",
        from_environment("BAOBAB_ROUTERS", "http://127.0.0.1:8080")));
    context.token = option_value(parsed, "token",
                                 from_environment("BAOBAB_OPERATOR_TOKEN", ""));
    context.author = option_value(
        parsed, "author",
        from_environment("BAOBAB_AUTHOR", from_environment("USER", "unknown")));
    context.output_file = option_value(parsed, "out", "");
    context.customer = option_value(parsed, "customer", "");
    context.prompt = option_value(parsed, "prompt", "");
    context.json = parsed.count("json") != 0 ||
                   parsed["output"].as<std::string>() == "json";
    context.html = parsed["output"].as<std::string>() == "html";
    context.wait = parsed.count("wait") != 0;
    context.wait_s = parsed["wait-seconds"].as<unsigned>();
    return context;
}

/// Runs the command whose name `words` begins with. The remaining words are its
/// arguments.
int run_command(const std::vector<std::string>& words, command_context context)
{
    for (const auto& row : command_table())
    {
        std::istringstream stream{std::string{row.name}};
        std::size_t matched = 0;
        bool matches = true;
        for (std::string word; matches && stream >> word; ++matched)
            matches = matched < words.size() && words[matched] == word;
        if (!matches)
            continue;
        context.arguments.assign(
            words.begin() + static_cast<std::ptrdiff_t>(matched), words.end());
        const auto argument_count = context.arguments.size();
        if (argument_count >= row.min_arguments &&
            argument_count <= row.max_arguments)
            return row.run(context);
        std::cerr << "usage: baobabctl " << row.name << ' ' << row.arguments
                  << '\n';
        return exit_usage;
    }
    std::cerr << "baobabctl: unknown command (see baobabctl --help)\n";
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    // cxxopts reports usage errors by exceptions.
    try
    {
        auto options = make_options();
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("version") != 0)
        {
            std::cout << "baobabctl " << BAOBAB_VERSION << '\n';
            return exit_ok;
        }
        if (parsed.count("help") != 0 || parsed.count("words") == 0)
        {
            print_help(options);
            return parsed.count("help") != 0 ? exit_ok : exit_usage;
        }
        return run_command(parsed["words"].as<std::vector<std::string>>(),
                           make_context(parsed));
    }
    catch (const std::exception& error)
    {
        std::cerr << "baobabctl: " << error.what()
                  << " (see baobabctl --help)\n";
        return exit_usage;
    }
}
