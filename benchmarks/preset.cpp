// Measures the time from the acceptance of a preset until all routers have it
// in force.
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
    bool kv_outage_after_change = false;
};

/// Returns true if all running routers have the preset of `generation` or a
/// newer one in force.
bool in_force_everywhere(world& world, std::uint64_t generation)
{
    for (std::size_t index = 0; index < world.options().routers; ++index)
    {
        const auto* node = world.node(index);
        if (node != nullptr &&
            (!node->preset() || node->preset()->generation_number < generation))
            return false;
    }
    return true;
}

void measure_adoption(const measure_options& options, std::size_t routers,
                      const preset_scenario& scenario, figures& all)
{
    world_options world_settings{.seed = options.seed, .routers = routers};
    world_settings.loss_probability = scenario.loss_probability;
    world world{world_settings};
    world.start();
    std::vector<double> adoption_times_s;
    constexpr int change_count = 15;
    constexpr duration step = 10ms;
    constexpr duration max_wait = 30s;
    std::uint64_t generation = 1;
    for (int count = 0; count < change_count; ++count)
    {
        const auto accepted_at = world.now();
        world.set_data_centre(0, count % 2 == 1);
        ++generation;
        if (scenario.kv_outage_after_change)
            world.events().schedule_after(world.kv().delay + 1ms, [&world]
                                          { world.kv().outage = true; });
        while (!in_force_everywhere(world, generation) &&
               world.now() - accepted_at < max_wait)
            world.run_for(step);
        adoption_times_s.push_back(to_seconds(world.now() - accepted_at));
        world.kv().outage = false;
        world.run_for(3s);
    }
    std::sort(adoption_times_s.begin(), adoption_times_s.end());
    const auto name =
        "preset.r" + std::to_string(routers) + "." + scenario.name;
    all.push_back({name + ".in_force.median",
                   adoption_times_s[adoption_times_s.size() / 2], "s",
                   bound_kind::at_most, 2});
    all.push_back({name + ".in_force.worst", adoption_times_s.back(), "s",
                   bound_kind::at_most, 2});
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
              preset_scenario{.name = "kv_down_after",
              .kv_outage_after_change = true},
              preset_scenario{.name = "loss5", .loss_probability = 0.05}})
            measure_adoption(options, routers, scenario, all);
    return all;
}

} // namespace baobabloft::measure
