// Load skew of the permits against the baselines, and cold starts.
#include "measure.hpp"

#include "baobabloft/routing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr double mean_load = 30;
constexpr double service_s = 12;
constexpr duration warm_up = 60s;
constexpr duration measured = 180s;
constexpr duration sample_period = 250ms;
constexpr double load_multiple = 1.25;
constexpr std::uint32_t load_floor = 4;

/// Load skew over time.
struct skew_meter
{
    double worst_ratio = 0;
    double sum_ratio = 0;
    std::uint64_t samples = 0;
    double worst_excess = 0;
    std::uint64_t excess_samples = 0;

    void sample(const std::vector<std::uint32_t>& loads)
    {
        const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                            static_cast<double>(loads.size());
        const double most = *std::max_element(loads.begin(), loads.end());
        if (mean <= 0)
            return;
        const double allowed =
            std::max<double>(load_floor, std::ceil(load_multiple * mean));
        worst_ratio = std::max(worst_ratio, most / mean);
        sum_ratio += most / mean;
        ++samples;
        worst_excess = std::max(worst_excess, most - allowed);
        excess_samples += most > allowed ? 1 : 0;
    }
};

std::vector<std::uint32_t> loads_of(world& world)
{
    std::vector<std::uint32_t> loads;
    for (const auto& engine : world.engines())
        loads.push_back(engine.running_requests);
    return loads;
}

/// One run of the permits.
struct permit_scenario
{
    std::string name;
    duration lag = 1s;
    double loss_probability = 0;
    bool surge = false;
    bool lose_owner = false;
};

void add_skew(figures& all, const std::string& name, const skew_meter& meter,
              bool bounded)
{
    all.push_back({name + ".max_over_mean.worst", meter.worst_ratio, "ratio"});
    all.push_back({name + ".max_over_mean.mean",
                   meter.sum_ratio / static_cast<double>(meter.samples),
                   "ratio"});
    all.push_back({name + ".above_multiple.worst",
                   std::max(meter.worst_excess, 0.0), "requests",
                   bounded ? bound_kind::at_most : bound_kind::none, 0});
}

void run_permits(const measure_options& options,
                 const permit_scenario& scenario, figures& all)
{
    auto shape = make_world_options(options);
    shape.report_lag = scenario.lag;
    shape.loss_probability = scenario.loss_probability;
    shape.load_multiple = load_multiple;
    shape.load_floor = load_floor;
    world world{shape};
    world.start();
    const double rate =
        static_cast<double>(shape.engines) * mean_load / service_s;
    constexpr double active_seconds = 180;
    workload load{world, rate, static_cast<std::size_t>(rate * active_seconds)};
    load.use_ready_routers_only();
    std::uint64_t answers = 0;
    std::uint64_t first = 0;
    std::uint64_t in_time = 0;
    std::uint64_t total = 0;
    bool counting = false;
    load.start(
        [&](const world_request&, const world_response& answer)
        {
            if (!counting)
                return;
            ++total;
            const bool granted =
                answer.result == routing::permit_result::granted;
            answers += granted ? 1 : 0;
            first += granted && answer.candidate_index == 0 ? 1 : 0;
            in_time += granted && answer.latency <= 740ms ? 1 : 0;
        });
    world.run_for(warm_up);
    counting = true;
    skew_meter meter;
    const auto end = world.now() + measured;
    const auto disturbance = world.now() + measured / 3;
    bool disturbed = false;
    while (world.now() < end)
    {
        world.run_for(sample_period);
        meter.sample(loads_of(world));
        if (disturbed || world.now() < disturbance)
            continue;
        disturbed = true;
        constexpr std::uint32_t surging_customer = 5;
        constexpr double surge_factor = 10;
        if (scenario.surge)
            load.scale_customer_load(surging_customer, surge_factor);
        if (scenario.lose_owner)
        {
            world.kill_router(0);
            world.events().schedule_after(10s, [&world]
                                          { world.restart_router(0); });
        }
    }
    load.stop();
    const auto name = "policy.permits." + scenario.name;
    add_skew(all, name, meter, true);
    all.push_back({name + ".first_choice", share(first, answers), "share"});
    all.push_back({name + ".first_token_in_time", share(in_time, total),
                   "share", bound_kind::at_least,
                   scenario.lose_owner ? 0.9 : 0.95});
}

/// One run of a placement policy on reports of age `lag`.
void run_baseline(const measure_options& options,
                  routing::placement_policy& policy, duration lag, figures& all)
{
    const std::size_t count = options.engines != 0 ? options.engines : 9;
    event_queue events;
    std::mt19937_64 random{options.seed};
    std::vector<upstream_id> upstreams;
    for (std::size_t index = 0; index < count; ++index)
        upstreams.push_back(
            make_upstream_id("engine-" + std::to_string(index)));
    std::vector<std::uint32_t> loads(count, 0);
    routing::reported_loads reported{loads};
    const double rate = static_cast<double>(count) * mean_load / service_s;
    std::uint64_t first = 0;
    std::uint64_t total = 0;
    const auto hash = routing::make_hash_placement();
    const auto end = events.now() + warm_up + measured;
    std::function<void()> arrive = [&]
    {
        const chat_id chat{random()};
        const auto chosen = policy.choose(chat, upstreams, reported);
        first += chosen == hash->choose(chat, upstreams, reported) ? 1 : 0;
        ++total;
        ++loads[chosen];
        std::exponential_distribution<double> length(1 / service_s);
        events.schedule_after(from_seconds(length(random)),
                              [&loads, chosen] { --loads[chosen]; });
        std::exponential_distribution<double> gap(rate);
        events.schedule_after(from_seconds(gap(random)), arrive);
    };
    std::function<void()> report = [&]
    {
        // What routers see is this old when the next report replaces it.
        events.schedule_after(lag, [&reported, copy = loads]
                              { reported.by_index = copy; });
        events.schedule_after(100ms, report);
    };
    arrive();
    report();
    events.run_until(events.now() + warm_up);
    skew_meter meter;
    while (events.now() < end)
    {
        events.run_until(events.now() + sample_period);
        meter.sample(loads);
    }
    const auto name = "policy." + std::string{policy.name()} + ".lag" +
                      std::to_string(lag / 1s);
    add_skew(all, name, meter, false);
    all.push_back({name + ".first_choice",
                   static_cast<double>(first) / static_cast<double>(total),
                   "share"});
}

} // namespace

figures measure_policy(const measure_options& options)
{
    figures all;
    for (const duration lag : {duration{1s}, duration{5s}})
    {
        run_baseline(options, *routing::make_hash_placement(), lag, all);
        run_baseline(options,
                     *routing::make_two_choices_placement(options.seed), lag,
                     all);
        run_baseline(options, *routing::make_bounded_placement(load_multiple),
                     lag, all);
    }
    for (const auto& scenario :
         {permit_scenario{.name = "lag0", .lag = 0s},
          permit_scenario{.name = "lag1"},
          permit_scenario{.name = "lag5", .lag = 5s},
          permit_scenario{.name = "loss5", .loss_probability = 0.05},
          permit_scenario{.name = "surge", .surge = true},
          permit_scenario{.name = "owner_lost", .lose_owner = true}})
        run_permits(options, scenario, all);
    return all;
}

figures measure_cold(const measure_options& options)
{
    auto shape = make_world_options(options);
    shape.cold_start_limit = 4;
    world world{shape};
    world.start();
    const double rate =
        static_cast<double>(shape.engines) * mean_load / service_s;
    workload load{world, rate, static_cast<std::size_t>(rate * 180)};
    load.use_ready_routers_only();
    load.start([](const world_request&, const world_response&) {});
    world.run_for(warm_up);
    // An announced cold start while the owner of the engine changes: another
    // router is cut from half of the fleet, so that two believe to own it.
    world.stop_engine(0);
    world.run_for(10s);
    world.start_engine(0, 30s);
    const auto half = shape.routers / 2;
    world.set_partition([half](std::size_t from, std::size_t to)
                        { return (from < half) != (to < half); });
    world.run_for(40s);
    world.set_partition({});
    const auto peak = world.engines()[0].cold_peak_requests;
    const auto back = world.now();
    double full_after_s = -1;
    for (int step = 0; step < 240 && full_after_s < 0; ++step)
    {
        world.run_for(500ms);
        const auto loads = loads_of(world);
        const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                            static_cast<double>(loads.size());
        if (loads[0] >= 0.8 * mean)
            full_after_s = to_seconds(world.now() - back);
    }
    load.stop();
    return {{"cold.two_owners.peak", static_cast<double>(peak), "requests",
             bound_kind::at_most, static_cast<double>(shape.cold_start_limit)},
            {"cold.full_service_after", full_after_s, "s", bound_kind::at_least,
             0}};
}

} // namespace baobabloft::measure
