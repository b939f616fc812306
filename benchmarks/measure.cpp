// baobab-measure NAME [--seed N] [--routers N] [--engines N]
//
// Runs measurements and prints one tab-separated line per figure: name, value,
// unit, bound, and pass or fail. Exits with 1 if a figure misses its bound and
// with 2 on a usage error.
#include "measure.hpp"

#include <cxxopts.hpp>

#include <array>
#include <cstdio>
#include <iostream>

namespace baobabloft::measure
{

bool figure::passes() const
{
    switch (kind)
    {
    case bound_kind::none:
        return true;
    case bound_kind::at_most:
        return value <= bound;
    case bound_kind::at_least:
        return value >= bound;
    }
    return false;
}

namespace
{

struct measurement
{
    std::string_view name;
    figures (*run)(const measure_options&);
};

constexpr std::array measurements{
    measurement{"policy", measure_policy},
    measurement{"cold", measure_cold},
    measurement{"churn", measure_churn},
    measurement{"departure", measure_departure},
    measurement{"fairness", measure_fairness},
    measurement{"control", measure_control},
    measurement{"bookings", measure_bookings},
    measurement{"preset", measure_preset},
    measurement{"decisions", measure_decisions},
};

std::string format_number(double value)
{
    constexpr std::size_t size = 32;
    std::array<char, size> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

bool print_figures(const figures& results)
{
    bool all_pass = true;
    for (const auto& item : results)
    {
        const bool has_bound = item.kind != bound_kind::none;
        std::cout << item.name << '\t' << format_number(item.value) << '\t'
                  << item.unit << '\t'
                  << (has_bound ? format_number(item.bound) : std::string{"-"})
                  << '\t' << (item.passes() ? "pass" : "fail") << '\n';
        all_pass = all_pass && item.passes();
    }
    std::cout.flush();
    return all_pass;
}

int run(const std::string& name, const measure_options& options)
{
    bool found = false;
    bool all_pass = true;
    for (const auto& item : measurements)
    {
        if (name != "all" && name != item.name)
            continue;
        found = true;
        all_pass = print_figures(item.run(options)) && all_pass;
    }
    if (found)
        return all_pass ? 0 : 1;
    std::cerr << "baobab-measure: unknown measurement: " << name << '\n';
    return 2;
}

} // namespace

} // namespace baobabloft::measure

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options{
            "baobab-measure",
            "Measures routing policies and decisions in a simulated fleet."};
        auto add = options.add_options();
        add("name", "measurement, or all",
            cxxopts::value<std::string>()->default_value("all"));
        add("seed", "seed of the run",
            cxxopts::value<std::uint64_t>()->default_value("1"));
        add("routers", "routers, 0 for the default",
            cxxopts::value<std::size_t>()->default_value("0"));
        add("engines", "engines, 0 for the default",
            cxxopts::value<std::size_t>()->default_value("0"));
        options.parse_positional({"name"});
        const auto parsed = options.parse(argc, argv);
        return baobabloft::measure::run(parsed["name"].as<std::string>(),
                                        {parsed["seed"].as<std::uint64_t>(),
                                         parsed["routers"].as<std::size_t>(),
                                         parsed["engines"].as<std::size_t>()});
    }
    catch (const std::exception& error)
    {
        std::cerr << "baobab-measure: " << error.what() << '\n';
        return 2;
    }
}
