// One customer at ten times its load: what the others notice.
#include "measure.hpp"

#include <algorithm>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr std::uint32_t surging_customer = 5;

struct tally
{
    std::uint64_t total = 0;
    std::uint64_t in_time = 0;

    [[nodiscard]] double share_in_time() const
    {
        return share(in_time, total);
    }
};

/// Runs with a factor on one customer's load; returns what the others got.
tally run(const measure_options& options, double factor, tally& surging)
{
    auto shape = make_world_options(options);
    shape.capacity = 32;
    world world{shape};
    world.start();
    constexpr double busy = 0.8;
    const double rate =
        busy * shape.capacity * static_cast<double>(shape.engines) / 12.0;
    workload load{world, rate, static_cast<std::size_t>(rate * 180)};
    load.use_ready_routers_only();
    tally others;
    bool counting = false;
    load.start(
        [&](const world_request& request, const world_response& answer)
        {
            if (!counting)
                return;
            auto& own = request.customer == surging_customer ? surging : others;
            const bool granted =
                answer.result == routing::permit_result::granted;
            ++own.total;
            own.in_time += granted && answer.latency <= 5s ? 1 : 0;
        });
    world.run_for(90s);
    load.scale_customer_load(surging_customer, factor);
    world.run_for(20s);
    counting = true;
    world.run_for(180s);
    load.stop();
    return others;
}

} // namespace

figures measure_fairness(const measure_options& options)
{
    constexpr double surge = 10;
    tally calm_surging;
    tally surging;
    const auto calm = run(options, 1, calm_surging);
    const auto others = run(options, surge, surging);
    return {{"fairness.others.in_time.calm", calm.share_in_time(), "share"},
            {"fairness.others.in_time.surge", others.share_in_time(), "share"},
            {"fairness.others.fall",
             std::max(calm.share_in_time() - others.share_in_time(), 0.0),
             "share", bound_kind::at_most, 0.01},
            {"fairness.surging.in_time", surging.share_in_time(), "share"}};
}

} // namespace baobabloft::measure
