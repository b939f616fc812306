// Time from the acceptance of a preset until it is in force everywhere.
#include "measure.hpp"

#include <algorithm>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

struct preset_scenario
{
    std::string name;
    double loss_probability = 0;
    bool outage_after = false;
};

bool in_force_everywhere(world& world, std::uint64_t number)
{
    for (std::size_t index = 0; index < world.options().routers; ++index)
    {
        const auto* node = world.node(index);
        if (node != nullptr &&
            (!node->preset() || node->preset()->number < number))
            return false;
    }
    return true;
}

void run(const measure_options& options, std::size_t routers,
         const preset_scenario& scenario, figures& all)
{
    world_options shape{.seed = options.seed, .routers = routers};
    shape.loss_probability = scenario.loss_probability;
    world world{shape};
    world.start();
    std::vector<double> times;
    constexpr int changes = 15;
    constexpr duration step = 10ms;
    constexpr duration longest = 30s;
    std::uint64_t number = 1;
    for (int count = 0; count < changes; ++count)
    {
        const auto accepted = world.now();
        world.set_data_centre(0, count % 2 == 1);
        ++number;
        if (scenario.outage_after)
            world.events().schedule_after(world.kv().delay + 1ms, [&world]
                                          { world.kv().outage = true; });
        while (!in_force_everywhere(world, number) &&
               world.now() - accepted < longest)
            world.run_for(step);
        times.push_back(to_seconds(world.now() - accepted));
        world.kv().outage = false;
        world.run_for(3s);
    }
    std::sort(times.begin(), times.end());
    const auto name =
        "preset.r" + std::to_string(routers) + "." + scenario.name;
    all.push_back({name + ".in_force.median", times[times.size() / 2], "s",
                   bound_kind::at_most, 2});
    all.push_back(
        {name + ".in_force.worst", times.back(), "s", bound_kind::at_most, 2});
}

} // namespace

figures measure_preset(const measure_options& options)
{
    figures all;
    const std::vector<std::size_t> sizes =
        options.routers != 0 ? std::vector<std::size_t>{options.routers}
                             : std::vector<std::size_t>{9, 50, 200};
    for (const auto routers : sizes)
        for (const auto& scenario :
             {preset_scenario{.name = "calm"},
              preset_scenario{.name = "kv_down_after", .outage_after = true},
              preset_scenario{.name = "loss5", .loss_probability = 0.05}})
            run(options, routers, scenario, all);
    return all;
}

} // namespace baobabloft::measure
