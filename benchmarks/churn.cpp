// Measures cache reuse while engines stop and restart, and the service while a
// data centre is taken out of service and put back.
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

constexpr double mean_requests_per_engine = 24;
constexpr double mean_service_time_s = 12;
/// Mean time between two turns of a chat; sets the number of active chats.
constexpr double chat_turn_interval_s = 180;
constexpr double load_multiple = 1.25;

double arrival_rate(const world_options& world_settings)
{
    return static_cast<double>(world_settings.engines) *
           mean_requests_per_engine / mean_service_time_s;
}

/// Reference placement that knows the load of every engine. A chat stays on its
/// last engine, and finds its prefix cached there, unless that engine has
/// stopped since or carries `load_multiple` times the mean load or more.
/// Otherwise the chat moves to the least loaded engine.
class omniscient_placement
{
public:
    /// Places a turn of `chat`; returns true if its prefix is cached.
    bool place_turn(chat_id chat, const std::vector<fake_engine>& engines)
    {
        auto& location = chat_locations_[chat];
        const bool is_known =
            location.engine < engines.size() && location.known;
        const bool reusable =
            is_known && engines[location.engine].up &&
            engines[location.engine].incarnation == location.incarnation &&
            engines[location.engine].running_requests <
                load_multiple * mean(engines);
        if (reusable)
            return true;
        std::size_t least_loaded = 0;
        for (std::size_t index = 0; index < engines.size(); ++index)
            if (engines[index].up &&
                (!engines[least_loaded].up ||
                 engines[index].running_requests <
                     engines[least_loaded].running_requests))
                least_loaded = index;
        location = {least_loaded, engines[least_loaded].incarnation, true};
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

    struct chat_location
    {
        std::size_t engine = 0;
        std::uint64_t incarnation = 0;
        bool known = false;
    };

    std::unordered_map<chat_id, chat_location> chat_locations_;
};

} // namespace

figures measure_churn(const measure_options& options)
{
    auto world_settings = make_world_options(options);
    world_settings.chat_cache_capacity = 4000;
    world world{world_settings};
    world.start();
    const double rate = arrival_rate(world_settings);
    workload load{world, rate,
                  static_cast<std::size_t>(rate * chat_turn_interval_s)};
    load.use_ready_routers_only();
    std::uint64_t hits = 0;
    std::uint64_t measured_turns = 0;
    std::uint64_t possible_hits = 0;
    std::uint64_t failed = 0;
    bool measuring = false;
    omniscient_placement placement;
    load.start(
        [&](const world_request& request, const world_response& response)
        {
            const bool is_reusable =
                placement.place_turn(request.chat, world.engines());
            if (!measuring)
                return;
            ++measured_turns;
            hits += response.cache_hit ? 1 : 0;
            possible_hits += is_reusable ? 1 : 0;
            failed +=
                response.result != routing::permit_result::granted ? 1 : 0;
        });
    world.run_for(240s);
    measuring = true;
    // Within an hour, eight engines stop one after the other, for five minutes
    // each.
    constexpr int stop_count = 8;
    constexpr duration stop_period = 450s;
    constexpr duration stop_duration = 300s;
    for (int count = 0; count < stop_count; ++count)
    {
        const auto engine =
            static_cast<std::size_t>(count) % world_settings.engines;
        world.stop_engine(engine);
        world.run_for(stop_duration);
        world.start_engine(engine, 20s);
        world.run_for(stop_period - stop_duration);
    }
    load.stop();
    const double reuse = share(hits, measured_turns);
    const double omniscient_reuse = share(possible_hits, measured_turns);
    return {{"churn.reuse", reuse, "share"},
            {"churn.reuse_omniscient", omniscient_reuse, "share"},
            {"churn.reuse_of_omniscient", reuse / omniscient_reuse, "share",
             bound_kind::at_least, 0.9},
            {"churn.refused", share(failed, measured_turns), "share",
             bound_kind::at_most, 0.05}};
}

figures measure_departure(const measure_options& options)
{
    const auto world_settings = make_world_options(options);
    world world{world_settings};
    world.start();
    const double rate = arrival_rate(world_settings);
    workload load{world, rate,
                  static_cast<std::size_t>(rate * chat_turn_interval_s)};
    load.use_ready_routers_only();
    std::uint64_t total = 0;
    std::uint64_t in_time = 0;
    std::uint64_t interrupted = 0;
    bool measuring = false;
    load.start(
        [&](const world_request&, const world_response& response)
        {
            if (!measuring)
                return;
            const bool granted =
                response.result == routing::permit_result::granted;
            ++total;
            in_time += granted && response.latency <= 740ms ? 1 : 0;
            interrupted += granted && !response.completed ? 1 : 0;
        });
    world.run_for(90s);
    measuring = true;
    constexpr std::size_t data_centre = 0;
    const auto stays_in_service = [&](std::size_t engine)
    {
        return engine % world_settings.data_centres != data_centre;
    };
    const auto removed_at = world.now();
    world.set_data_centre(data_centre, false);
    world.run_for(120s);
    duration last_new_work{};
    for (std::size_t index = 0; index < world_settings.engines; ++index)
        if (!stays_in_service(index))
            last_new_work = std::max(last_new_work,
                                     world.engines()[index].last_request_start -
                                         removed_at);
    const auto in_time_share_out_of_service = share(in_time, total);
    in_time = 0;
    total = 0;
    const auto returned_at = world.now();
    world.set_data_centre(data_centre, true);
    double balanced_after_s = -1;
    for (int step = 0; step < 360; ++step)
    {
        world.run_for(500ms);
        double returned = 0;
        double others = 0;
        std::size_t count = 0;
        for (std::size_t index = 0; index < world_settings.engines; ++index)
        {
            (stays_in_service(index) ? others : returned) +=
                world.engines()[index].running_requests;
            count += stays_in_service(index) ? 0 : 1;
        }
        returned /= static_cast<double>(count);
        others /= static_cast<double>(world_settings.engines - count);
        if (balanced_after_s < 0 && returned >= 0.8 * others)
            balanced_after_s = to_seconds(world.now() - returned_at);
    }
    load.stop();
    return {{"departure.last_new_work_after", to_seconds(last_new_work), "s",
             bound_kind::at_most, 3},
            {"departure.first_token_in_time.while_out",
             in_time_share_out_of_service, "share", bound_kind::at_least, 0.95},
            {"departure.first_token_in_time.after_return",
             share(in_time, total), "share", bound_kind::at_least, 0.95},
            {"departure.cut_in_progress", static_cast<double>(interrupted),
             "requests", bound_kind::at_most, 0},
            {"departure.even_after_return", balanced_after_s, "s",
             bound_kind::at_least, 0}};
}

} // namespace baobabloft::measure
