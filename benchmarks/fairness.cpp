// Measures how a tenfold surge of one customer affects the other customers.
#include "measure.hpp"

#include <algorithm>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr std::uint32_t surging_customer = 5;

struct request_counts
{
    std::uint64_t total = 0;
    std::uint64_t in_time = 0;

    [[nodiscard]] double share_in_time() const
    {
        return share(in_time, total);
    }
};

/// Runs with the load of one customer multiplied by `factor`. Counts that
/// customer's requests in `surging` and returns the counts of the others.
request_counts run(const measure_options& options, double factor,
                   request_counts& surging)
{
    auto world_settings = make_world_options(options);
    world_settings.capacity = 32;
    world world{world_settings};
    world.start();
    constexpr double target_utilization = 0.8;
    const double rate = target_utilization * world_settings.capacity *
                        static_cast<double>(world_settings.engines) / 12.0;
    workload load{world, rate, static_cast<std::size_t>(rate * 180)};
    load.use_ready_routers_only();
    request_counts others;
    bool measuring = false;
    load.start(
        [&](const world_request& request, const world_response& response)
        {
            if (!measuring)
                return;
            auto& counts =
                request.customer == surging_customer ? surging : others;
            const bool granted =
                response.result == routing::permit_result::granted;
            ++counts.total;
            counts.in_time += granted && response.latency <= 5s ? 1 : 0;
        });
    world.run_for(90s);
    load.scale_customer_load(surging_customer, factor);
    world.run_for(20s);
    measuring = true;
    world.run_for(180s);
    load.stop();
    return others;
}

} // namespace

figures measure_fairness(const measure_options& options)
{
    constexpr double surge = 10;
    request_counts surging_at_normal_load;
    request_counts surging;
    const auto others_at_normal_load = run(options, 1, surging_at_normal_load);
    const auto others = run(options, surge, surging);
    return {{"fairness.others.in_time.calm",
             others_at_normal_load.share_in_time(), "share"},
            {"fairness.others.in_time.surge", others.share_in_time(), "share"},
            {"fairness.others.fall",
             std::max(others_at_normal_load.share_in_time() -
                          others.share_in_time(),
                      0.0),
             "share", bound_kind::at_most, 0.01},
            {"fairness.surging.in_time", surging.share_in_time(), "share"}};
}

} // namespace baobabloft::measure
