// baobab-measure NAME [--seed N] [--routers N] [--engines N]: prints one line
// per figure, tab-separated: name, value, unit, bound, pass or fail.
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

std::string number(double value)
{
    constexpr std::size_t size = 32;
    std::array<char, size> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

bool print(const figures& all)
{
    bool good = true;
    for (const auto& item : all)
    {
        const bool bounded = item.kind != bound_kind::none;
        std::cout << item.name << '\t' << number(item.value) << '\t'
                  << item.unit << '\t'
                  << (bounded ? number(item.bound) : std::string{"-"}) << '\t'
                  << (item.passes() ? "pass" : "fail") << '\n';
        good = good && item.passes();
    }
    std::cout.flush();
    return good;
}

int run(const std::string& name, const measure_options& options)
{
    bool known = false;
    bool good = true;
    for (const auto& item : measurements)
    {
        if (name != "all" && name != item.name)
            continue;
        known = true;
        good = print(item.run(options)) && good;
    }
    if (known)
        return good ? 0 : 1;
    std::cerr << "baobab-measure: no measurement is called " << name << '\n';
    return 2;
}

} // namespace

} // namespace baobabloft::measure

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options{"baobab-measure", "Measures the decisions."};
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
