// Control traffic, processor time and memory per router, by fleet size and by
// requests, and what the slopes give at the target.
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

/// The target's size.
constexpr std::size_t target_routers = 390;
constexpr std::size_t target_engines = 600;
constexpr double target_requests_per_second = 2100;
constexpr double target_bytes_per_second = 2000;
constexpr double target_core_share = 0.011;
constexpr double target_memory_mb = 64;

/// One HTTP exchange for a load report: the request's bytes and the TCP and IP
/// headers of the three segments that the router sends.
constexpr double load_read_bytes = 250;

struct usage
{
    double datagram_bytes = 0;
    double load_read_bytes_sent = 0;
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

usage run(const measure_options& options, std::size_t size,
          double requests_per_router)
{
    world_options shape{.seed = options.seed, .routers = size};
    shape.engines = size * target_engines / target_routers;
    shape.count_bytes = true;
    const double memory_before = resident_mb();
    world world{shape};
    world.start();
    const double rate =
        std::max(requests_per_router * static_cast<double>(size), 0.001);
    workload load{world, rate, static_cast<std::size_t>(rate * 180) + 1};
    load.start([](const world_request&, const world_response&) {});
    world.run_for(180s);
    const auto before = world.sent_traffic();
    const auto reads_before = world.load_report_reads();
    const double cpu_before = cpu_seconds();
    constexpr double seconds = 60;
    world.run_for(from_seconds(seconds));
    load.stop();
    usage result;
    const double per_router = 1 / seconds / static_cast<double>(size);
    const auto& after = world.sent_traffic();
    for (std::size_t kind = 0; kind < after.bytes.size(); ++kind)
    {
        result.sent.bytes.at(kind) =
            after.bytes.at(kind) - before.bytes.at(kind);
        result.sent.datagrams.at(kind) =
            after.datagrams.at(kind) - before.datagrams.at(kind);
    }
    result.datagram_bytes = static_cast<double>(std::accumulate(
                                result.sent.bytes.begin(),
                                result.sent.bytes.end(), std::uint64_t{0})) *
                            per_router;
    result.load_read_bytes_sent =
        static_cast<double>(world.load_report_reads() - reads_before) *
        load_read_bytes * per_router;
    result.core_share = (cpu_seconds() - cpu_before) * per_router;
    result.memory_mb =
        (resident_mb() - memory_before) / static_cast<double>(size);
    return result;
}

} // namespace

figures measure_control(const measure_options& options)
{
    figures all;
    const double at_target = target_requests_per_second / target_routers;
    constexpr double rest = 0;
    constexpr double tiny = 1e-9;
    double idle_200 = 0;
    double idle_50 = 0;
    double busy_200 = 0;
    for (const std::size_t size : {9UL, 50UL, 200UL})
    {
        const auto idle = run(options, size, rest);
        const auto busy = run(options, size, at_target);
        const auto name = "control.r" + std::to_string(size);
        all.push_back({name + ".idle", idle.datagram_bytes, "B/s"});
        all.push_back({name + ".busy", busy.datagram_bytes, "B/s",
                       bound_kind::at_most, target_bytes_per_second});
        all.push_back({name + ".load_reads", busy.load_read_bytes_sent, "B/s"});
        for (std::size_t kind = 0; kind < busy.sent.bytes.size(); ++kind)
        {
            const double bytes = static_cast<double>(busy.sent.bytes.at(kind)) /
                                 60 / static_cast<double>(size);
            if (bytes > 1)
                all.push_back({name + ".busy." + fleet::message_names.at(kind),
                               bytes, "B/s"});
        }
        all.push_back({name + ".busy.core_with_driver", busy.core_share,
                       "share", bound_kind::at_most, target_core_share});
        all.push_back({name + ".busy.memory_with_driver", busy.memory_mb, "MB",
                       bound_kind::at_most, target_memory_mb});
        if (size == 50)
            idle_50 = idle.datagram_bytes;
        if (size == 200)
        {
            idle_200 = idle.datagram_bytes;
            busy_200 = busy.datagram_bytes + busy.load_read_bytes_sent;
        }
    }
    const double per_router = (idle_200 - idle_50) / 150 + tiny;
    const double per_request = (busy_200 - idle_200) / at_target;
    all.push_back({"control.slope.per_router", per_router, "B/s"});
    all.push_back({"control.slope.per_request", per_request, "B"});
    all.push_back({"control.at_target",
                   idle_200 + per_router * (target_routers - 200) +
                       per_request * at_target,
                   "B/s", bound_kind::at_most, target_bytes_per_second});
    return all;
}

} // namespace baobabloft::measure
