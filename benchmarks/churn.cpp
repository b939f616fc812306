// Cache reuse through churn, and service while a data centre leaves and
// returns.
#include "measure.hpp"

#include "baobabloft/routing/affinity.hpp"
#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <numeric>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr double mean_load = 24;
constexpr double service_s = 12;
constexpr double active_seconds = 180;
constexpr double load_multiple = 1.25;

double rate_of(const world_options& shape)
{
    return static_cast<double>(shape.engines) * mean_load / service_s;
}

/// What an omniscient placement under the same cap would have reused: a chat is
/// warm wherever it ran last, as long as that engine has not stopped since and
/// carries less than the multiple of the mean. Otherwise it moves to the least
/// loaded engine.
class omniscient
{
public:
    /// Notes a turn; returns true if it could have met its cache.
    bool turn(chat_id chat, const std::vector<fake_engine>& engines)
    {
        auto& home = homes_[chat];
        const bool known = home.engine < engines.size() && home.known;
        const bool warm =
            known && engines[home.engine].up &&
            engines[home.engine].incarnation == home.incarnation &&
            engines[home.engine].running_requests <
                load_multiple * mean(engines);
        if (warm)
            return true;
        std::size_t best = 0;
        for (std::size_t index = 0; index < engines.size(); ++index)
            if (engines[index].up &&
                (!engines[best].up || engines[index].running_requests <
                                          engines[best].running_requests))
                best = index;
        home = {best, engines[best].incarnation, true};
        return false;
    }

private:
    static double mean(const std::vector<fake_engine>& engines)
    {
        double sum = 0;
        double count = 0;
        for (const auto& engine : engines)
        {
            sum += engine.up ? engine.running_requests : 0;
            count += engine.up ? 1 : 0;
        }
        return count == 0 ? 0 : sum / count;
    }

    struct home
    {
        std::size_t engine = 0;
        std::uint64_t incarnation = 0;
        bool known = false;
    };

    std::unordered_map<chat_id, home> homes_;
};

} // namespace

figures measure_churn(const measure_options& options)
{
    auto shape = make_world_options(options);
    shape.chat_cache_capacity = 4000;
    world world{shape};
    world.start();
    const double rate = rate_of(shape);
    workload load{world, rate, static_cast<std::size_t>(rate * active_seconds)};
    load.use_ready_routers_only();
    std::uint64_t hits = 0;
    std::uint64_t turns = 0;
    std::uint64_t ideal = 0;
    std::uint64_t failed = 0;
    bool counting = false;
    omniscient best;
    load.start(
        [&](const world_request& request, const world_response& answer)
        {
            const bool could = best.turn(request.chat, world.engines());
            if (!counting)
                return;
            ++turns;
            hits += answer.cache_hit ? 1 : 0;
            ideal += could ? 1 : 0;
            failed += answer.result != routing::permit_result::granted ? 1 : 0;
        });
    world.run_for(240s);
    counting = true;
    // Eight engines leave and return within an hour, each for five minutes.
    constexpr int leaves = 8;
    constexpr duration between = 450s;
    constexpr duration away = 300s;
    for (int count = 0; count < leaves; ++count)
    {
        const auto engine = static_cast<std::size_t>(count) % shape.engines;
        world.stop_engine(engine);
        world.run_for(away);
        world.start_engine(engine, 20s);
        world.run_for(between - away);
    }
    load.stop();
    const double reuse = share(hits, turns);
    const double possible = share(ideal, turns);
    return {{"churn.reuse", reuse, "share"},
            {"churn.reuse_omniscient", possible, "share"},
            {"churn.reuse_of_omniscient", reuse / possible, "share",
             bound_kind::at_least, 0.9},
            {"churn.refused", share(failed, turns), "share",
             bound_kind::at_most, 0.05}};
}

figures measure_departure(const measure_options& options)
{
    const auto shape = make_world_options(options);
    world world{shape};
    world.start();
    const double rate = rate_of(shape);
    workload load{world, rate, static_cast<std::size_t>(rate * active_seconds)};
    load.use_ready_routers_only();
    std::uint64_t total = 0;
    std::uint64_t in_time = 0;
    std::uint64_t cut = 0;
    bool counting = false;
    load.start(
        [&](const world_request&, const world_response& answer)
        {
            if (!counting)
                return;
            const bool granted =
                answer.result == routing::permit_result::granted;
            ++total;
            in_time += granted && answer.latency <= 740ms ? 1 : 0;
            cut += granted && !answer.completed ? 1 : 0;
        });
    world.run_for(90s);
    counting = true;
    constexpr std::size_t leaving = 0;
    const auto stays = [&](std::size_t engine)
    {
        return engine % shape.data_centres != leaving;
    };
    const auto left_at = world.now();
    world.set_data_centre(leaving, false);
    world.run_for(120s);
    duration last_new_work{};
    for (std::size_t index = 0; index < shape.engines; ++index)
        if (!stays(index))
            last_new_work =
                std::max(last_new_work,
                         world.engines()[index].last_request_start - left_at);
    const auto in_time_out = share(in_time, total);
    in_time = 0;
    total = 0;
    const auto back_at = world.now();
    world.set_data_centre(leaving, true);
    double even_after_s = -1;
    for (int step = 0; step < 360; ++step)
    {
        world.run_for(500ms);
        double returned = 0;
        double others = 0;
        std::size_t count = 0;
        for (std::size_t index = 0; index < shape.engines; ++index)
        {
            (stays(index) ? others : returned) +=
                world.engines()[index].running_requests;
            count += stays(index) ? 0 : 1;
        }
        returned /= static_cast<double>(count);
        others /= static_cast<double>(shape.engines - count);
        if (even_after_s < 0 && returned >= 0.8 * others)
            even_after_s = to_seconds(world.now() - back_at);
    }
    load.stop();
    return {{"departure.last_new_work_after", to_seconds(last_new_work), "s",
             bound_kind::at_most, 3},
            {"departure.first_token_in_time.while_out", in_time_out, "share",
             bound_kind::at_least, 0.95},
            {"departure.first_token_in_time.after_return",
             share(in_time, total), "share", bound_kind::at_least, 0.95},
            {"departure.cut_in_progress", static_cast<double>(cut), "requests",
             bound_kind::at_most, 0},
            {"departure.even_after_return", even_after_s, "s",
             bound_kind::at_least, 0}};
}

} // namespace baobabloft::measure
