// baobab-standin KIND --port N ...: runs one stand-in.
#include "standins.hpp"

#include <cxxopts.hpp>

#include <iostream>

namespace
{

using namespace baobabloft::standins;

int run(const cxxopts::ParseResult& parsed)
{
    const auto kind = parsed["kind"].as<std::string>();
    if (kind == "load")
        return run_load({.url = parsed["url"].as<std::string>(),
                         .body = parsed["body"].as<std::string>(),
                         .concurrency = parsed["concurrency"].as<unsigned>(),
                         .requests = parsed["requests"].as<std::uint64_t>()});
    const auto port = parsed["port"].as<std::uint16_t>();
    if (kind == "kv")
        return run_kv(port);
    if (kind == "plain")
        return run_plain(port, parsed["work-ms"].as<unsigned>());
    if (kind == "hosts")
        return run_hosts(port, parsed["lag-ms"].as<unsigned>());
    if (kind == "engine")
        return run_engine({.port = port,
                           .token_ms = parsed["token-ms"].as<unsigned>(),
                           .prefill_ms = parsed["prefill-ms"].as<unsigned>(),
                           .capacity = parsed["capacity"].as<unsigned>(),
                           .cold_ms = parsed["cold-ms"].as<unsigned>(),
                           .report_lag_ms = parsed["lag-ms"].as<unsigned>()});
    std::cerr << "kind must be kv, engine, plain, hosts or load\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options{"baobab-standin",
                                 "Runs a stand-in for tests."};
        auto add = options.add_options();
        add("kind", "kv, engine, plain, hosts or load",
            cxxopts::value<std::string>());
        add("port", "port on 127.0.0.1", cxxopts::value<std::uint16_t>());
        add("token-ms", "time per token, ms",
            cxxopts::value<unsigned>()->default_value("20"));
        add("prefill-ms", "time to first token without cache, ms",
            cxxopts::value<unsigned>()->default_value("100"));
        add("capacity", "number of requests that run at full speed",
            cxxopts::value<unsigned>()->default_value("16"));
        add("cold-ms", "length of the cold start, ms",
            cxxopts::value<unsigned>()->default_value("0"));
        add("lag-ms", "lag of load reports or of the host list, ms",
            cxxopts::value<unsigned>()->default_value("500"));
        add("work-ms", "time per call of the plain service, ms",
            cxxopts::value<unsigned>()->default_value("5"));
        add("url", "URL that the load generator calls",
            cxxopts::value<std::string>());
        add("body", "body of the load generator's requests",
            cxxopts::value<std::string>()->default_value(""));
        add("concurrency", "requests open at the same time",
            cxxopts::value<unsigned>()->default_value("1"));
        add("requests", "total number of requests",
            cxxopts::value<std::uint64_t>()->default_value("1000"));
        options.parse_positional({"kind"});
        return run(options.parse(argc, argv));
    }
    catch (const std::exception& error)
    {
        std::cerr << "baobab-standin: " << error.what() << '\n';
        return 2;
    }
}
