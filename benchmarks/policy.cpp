// Measures the load skew under permits and under baseline placement policies,
// and the load of an engine during and after a cold start.
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

constexpr double mean_requests_per_engine = 30;
constexpr double mean_service_time_s = 12;
constexpr duration warm_up_duration = 60s;
constexpr duration measurement_duration = 180s;
constexpr duration sample_period = 250ms;
constexpr double load_multiple = 1.25;
constexpr std::uint32_t load_floor = 4;

/// Collects the load skew over time: the highest load against the mean load,
/// and against the limit that the load multiple and the load floor allow.
struct skew_meter
{
    double max_ratio = 0;
    double ratio_sum = 0;
    std::uint64_t sample_count = 0;
    double max_excess = 0;
    std::uint64_t excess_samples = 0;

    void sample(const std::vector<std::uint32_t>& loads)
    {
        const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                            static_cast<double>(loads.size());
        const double max_load = *std::max_element(loads.begin(), loads.end());
        if (mean <= 0)
            return;
        const double load_limit =
            std::max<double>(load_floor, std::ceil(load_multiple * mean));
        max_ratio = std::max(max_ratio, max_load / mean);
        ratio_sum += max_load / mean;
        ++sample_count;
        max_excess = std::max(max_excess, max_load - load_limit);
        excess_samples += max_load > load_limit ? 1 : 0;
    }
};

std::vector<std::uint32_t> loads_of(world& world)
{
    std::vector<std::uint32_t> loads;
    for (const auto& engine : world.engines())
        loads.push_back(engine.running_requests);
    return loads;
}

/// Conditions of one run with permits.
struct permit_scenario
{
    std::string name;
    duration report_lag = 1s;
    double loss_probability = 0;
    bool has_customer_surge = false;
    bool kill_owner = false;
};

void add_skew(figures& all, const std::string& name, const skew_meter& meter,
              bool has_bound)
{
    all.push_back({name + ".max_over_mean.worst", meter.max_ratio, "ratio"});
    all.push_back({name + ".max_over_mean.mean",
                   meter.ratio_sum / static_cast<double>(meter.sample_count),
                   "ratio"});
    all.push_back({name + ".above_multiple.worst",
                   std::max(meter.max_excess, 0.0), "requests",
                   has_bound ? bound_kind::at_most : bound_kind::none, 0});
}

void run_permits(const measure_options& options,
                 const permit_scenario& scenario, figures& all)
{
    auto world_settings = make_world_options(options);
    world_settings.report_lag = scenario.report_lag;
    world_settings.loss_probability = scenario.loss_probability;
    world_settings.load_multiple = load_multiple;
    world_settings.load_floor = load_floor;
    world world{world_settings};
    world.start();
    const double rate = static_cast<double>(world_settings.engines) *
                        mean_requests_per_engine / mean_service_time_s;
    // Mean time between two turns of a chat; sets the number of active chats.
    constexpr double chat_turn_interval_s = 180;
    workload load{world, rate,
                  static_cast<std::size_t>(rate * chat_turn_interval_s)};
    load.use_ready_routers_only();
    std::uint64_t granted_requests = 0;
    std::uint64_t first_choices = 0;
    std::uint64_t in_time = 0;
    std::uint64_t total = 0;
    bool measuring = false;
    load.start(
        [&](const world_request&, const world_response& response)
        {
            if (!measuring)
                return;
            ++total;
            const bool granted =
                response.result == routing::permit_result::granted;
            granted_requests += granted ? 1 : 0;
            first_choices += granted && response.candidate_index == 0 ? 1 : 0;
            in_time += granted && response.latency <= 740ms ? 1 : 0;
        });
    world.run_for(warm_up_duration);
    measuring = true;
    skew_meter meter;
    const auto end = world.now() + measurement_duration;
    const auto disturbance_at = world.now() + measurement_duration / 3;
    bool disturbed = false;
    while (world.now() < end)
    {
        world.run_for(sample_period);
        meter.sample(loads_of(world));
        if (disturbed || world.now() < disturbance_at)
            continue;
        disturbed = true;
        constexpr std::uint32_t surging_customer = 5;
        constexpr double surge_factor = 10;
        if (scenario.has_customer_surge)
            load.scale_customer_load(surging_customer, surge_factor);
        if (scenario.kill_owner)
        {
            world.kill_router(0);
            world.events().schedule_after(10s, [&world]
                                          { world.restart_router(0); });
        }
    }
    load.stop();
    const auto name = "policy.permits." + scenario.name;
    add_skew(all, name, meter, true);
    all.push_back({name + ".first_choice",
                   share(first_choices, granted_requests), "share"});
    all.push_back({name + ".first_token_in_time", share(in_time, total),
                   "share", bound_kind::at_least,
                   scenario.kill_owner ? 0.9 : 0.95});
}

/// Measures a placement policy that sees the loads `lag` after the fact.
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
    const double rate = static_cast<double>(count) * mean_requests_per_engine /
                        mean_service_time_s;
    std::uint64_t first_choices = 0;
    std::uint64_t total = 0;
    const auto hash = routing::make_hash_placement();
    const auto end = events.now() + warm_up_duration + measurement_duration;
    std::function<void()> process_arrival = [&]
    {
        const chat_id chat{random()};
        const auto chosen = policy.choose(chat, upstreams, reported);
        first_choices +=
            chosen == hash->choose(chat, upstreams, reported) ? 1 : 0;
        ++total;
        ++loads[chosen];
        std::exponential_distribution<double> service_time(1 /
                                                           mean_service_time_s);
        events.schedule_after(from_seconds(service_time(random)),
                              [&loads, chosen] { --loads[chosen]; });
        std::exponential_distribution<double> interval(rate);
        events.schedule_after(from_seconds(interval(random)), process_arrival);
    };
    std::function<void()> publish_loads = [&]
    {
        // The policy sees these loads after `lag`, until the next report
        // replaces them.
        events.schedule_after(lag, [&reported, copy = loads]
                              { reported.by_index = copy; });
        events.schedule_after(100ms, publish_loads);
    };
    process_arrival();
    publish_loads();
    events.run_until(events.now() + warm_up_duration);
    skew_meter meter;
    while (events.now() < end)
    {
        events.run_until(events.now() + sample_period);
        meter.sample(loads);
    }
    const auto name = "policy." + std::string{policy.name()} + ".lag" +
                      std::to_string(lag / 1s);
    add_skew(all, name, meter, false);
    all.push_back(
        {name + ".first_choice",
         static_cast<double>(first_choices) / static_cast<double>(total),
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
         {permit_scenario{.name = "lag0", .report_lag = 0s},
          permit_scenario{.name = "lag1"},
          permit_scenario{.name = "lag5", .report_lag = 5s},
          permit_scenario{.name = "loss5", .loss_probability = 0.05},
          permit_scenario{.name = "surge", .has_customer_surge = true},
          permit_scenario{.name = "owner_lost", .kill_owner = true}})
        run_permits(options, scenario, all);
    return all;
}

figures measure_cold(const measure_options& options)
{
    auto world_settings = make_world_options(options);
    world_settings.cold_start_limit = 4;
    world world{world_settings};
    world.start();
    const double rate = static_cast<double>(world_settings.engines) *
                        mean_requests_per_engine / mean_service_time_s;
    workload load{world, rate, static_cast<std::size_t>(rate * 180)};
    load.use_ready_routers_only();
    load.start([](const world_request&, const world_response&) {});
    world.run_for(warm_up_duration);
    // The engine reports its cold start while a partition splits the fleet into
    // two halves, so that two routers consider themselves the owner.
    world.stop_engine(0);
    world.run_for(10s);
    world.start_engine(0, 30s);
    const auto half_of_routers = world_settings.routers / 2;
    world.set_partition(
        [half_of_routers](std::size_t from, std::size_t to)
        { return (from < half_of_routers) != (to < half_of_routers); });
    world.run_for(40s);
    world.set_partition({});
    const auto cold_peak = world.engines()[0].cold_peak_requests;
    const auto partition_ended_at = world.now();
    double full_load_after_s = -1;
    for (int step = 0; step < 240 && full_load_after_s < 0; ++step)
    {
        world.run_for(500ms);
        const auto loads = loads_of(world);
        const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                            static_cast<double>(loads.size());
        if (loads[0] >= 0.8 * mean)
            full_load_after_s = to_seconds(world.now() - partition_ended_at);
    }
    load.stop();
    return {{"cold.two_owners.peak", static_cast<double>(cold_peak), "requests",
             bound_kind::at_most,
             static_cast<double>(world_settings.cold_start_limit)},
            {"cold.full_service_after", full_load_after_s, "s",
             bound_kind::at_least, 0}};
}

} // namespace baobabloft::measure
