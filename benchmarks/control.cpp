// Measures control traffic, CPU time and memory per router by fleet size and by
// request rate, and extrapolates the control traffic to the target size.
#include "measure.hpp"

#include <ctime>
#include <fstream>
#include <numeric>
#include <unistd.h>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

/// Size of the target fleet and bounds per router.
constexpr std::size_t target_routers = 390;
constexpr std::size_t target_engines = 600;
constexpr double target_requests_per_second = 2100;
constexpr double target_bytes_per_second = 2000;
constexpr double target_core_share = 0.011;
constexpr double target_memory_mb = 64;

/// Bytes that a router sends to read one load report over HTTP: the request and
/// the TCP and IP headers of the three segments.
constexpr double load_read_exchange_bytes = 250;

/// Mean usage of one router.
struct resource_usage
{
    double datagram_bytes_per_second = 0;
    double load_read_bytes_per_second = 0;
    double core_share = 0;
    double memory_mb = 0;
    traffic sent;
};

double resident_mb()
{
    std::ifstream file{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

resource_usage measure_usage(const measure_options& options,
                             std::size_t router_count,
                             double requests_per_router)
{
    world_options world_settings{.seed = options.seed, .routers = router_count};
    world_settings.engines = router_count * target_engines / target_routers;
    world_settings.count_bytes = true;
    const double memory_before = resident_mb();
    world world{world_settings};
    world.start();
    const double rate = std::max(
        requests_per_router * static_cast<double>(router_count), 0.001);
    workload load{world, rate, static_cast<std::size_t>(rate * 180) + 1};
    load.start([](const world_request&, const world_response&) {});
    world.run_for(180s);
    const auto sent_before = world.sent_traffic();
    const auto reads_before = world.load_report_reads();
    const double cpu_before = cpu_seconds();
    constexpr double seconds = 60;
    world.run_for(from_seconds(seconds));
    load.stop();
    resource_usage result;
    const double per_router_second =
        1 / seconds / static_cast<double>(router_count);
    const auto& sent = world.sent_traffic();
    for (std::size_t kind = 0; kind < sent.bytes.size(); ++kind)
    {
        result.sent.bytes.at(kind) =
            sent.bytes.at(kind) - sent_before.bytes.at(kind);
        result.sent.datagrams.at(kind) =
            sent.datagrams.at(kind) - sent_before.datagrams.at(kind);
    }
    result.datagram_bytes_per_second =
        static_cast<double>(std::accumulate(result.sent.bytes.begin(),
                                            result.sent.bytes.end(),
                                            std::uint64_t{0})) *
        per_router_second;
    result.load_read_bytes_per_second =
        static_cast<double>(world.load_report_reads() - reads_before) *
        load_read_exchange_bytes * per_router_second;
    result.core_share = (cpu_seconds() - cpu_before) * per_router_second;
    result.memory_mb =
        (resident_mb() - memory_before) / static_cast<double>(router_count);
    return result;
}

} // namespace

figures measure_control(const measure_options& options)
{
    figures all;
    const double target_requests_per_router =
        target_requests_per_second / target_routers;
    constexpr double idle_requests_per_second = 0;
    constexpr double epsilon = 1e-9;
    double idle_200 = 0;
    double idle_50 = 0;
    double loaded_200 = 0;
    for (const std::size_t router_count : {9UL, 50UL, 200UL})
    {
        const auto idle =
            measure_usage(options, router_count, idle_requests_per_second);
        const auto loaded =
            measure_usage(options, router_count, target_requests_per_router);
        const auto name = "control.r" + std::to_string(router_count);
        all.push_back({name + ".idle", idle.datagram_bytes_per_second, "B/s"});
        all.push_back({name + ".busy", loaded.datagram_bytes_per_second, "B/s",
                       bound_kind::at_most, target_bytes_per_second});
        all.push_back(
            {name + ".load_reads", loaded.load_read_bytes_per_second, "B/s"});
        for (std::size_t kind = 0; kind < loaded.sent.bytes.size(); ++kind)
        {
            const double bytes =
                static_cast<double>(loaded.sent.bytes.at(kind)) / 60 /
                static_cast<double>(router_count);
            if (bytes > 1)
                all.push_back({name + ".busy." + fleet::message_names.at(kind),
                               bytes, "B/s"});
        }
        all.push_back({name + ".busy.core_with_driver", loaded.core_share,
                       "share", bound_kind::at_most, target_core_share});
        all.push_back({name + ".busy.memory_with_driver", loaded.memory_mb,
                       "MB", bound_kind::at_most, target_memory_mb});
        if (router_count == 50)
            idle_50 = idle.datagram_bytes_per_second;
        if (router_count == 200)
        {
            idle_200 = idle.datagram_bytes_per_second;
            loaded_200 = loaded.datagram_bytes_per_second +
                         loaded.load_read_bytes_per_second;
        }
    }
    const double per_router = (idle_200 - idle_50) / 150 + epsilon;
    const double per_request =
        (loaded_200 - idle_200) / target_requests_per_router;
    all.push_back({"control.slope.per_router", per_router, "B/s"});
    all.push_back({"control.slope.per_request", per_request, "B"});
    all.push_back({"control.at_target",
                   idle_200 + per_router * (target_routers - 200) +
                       per_request * target_requests_per_router,
                   "B/s", bound_kind::at_most, target_bytes_per_second});
    return all;
}

} // namespace baobabloft::measure
