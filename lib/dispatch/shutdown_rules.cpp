#include "baobabloft/dispatch/shutdown_rules.hpp"

#include <algorithm>

namespace baobabloft::dispatch
{

namespace
{

duration reserve_of(const shutdown_times& times)
{
    return std::min(times.reserve, times.limit / 2);
}

} // namespace

duration request_limit(const shutdown_times& times)
{
    return times.limit - reserve_of(times);
}

shutdown_phase shutdown_phase_at(duration elapsed, const shutdown_times& times)
{
    // The second half of the reserve is left for the end of the process.
    if (elapsed >= times.limit - reserve_of(times) / 2)
        return shutdown_phase::over;
    if (elapsed >= request_limit(times))
        return shutdown_phase::refusing;
    return elapsed < times.balancer_reaction ? shutdown_phase::serving
                                             : shutdown_phase::closing_idle;
}

bool accepts_request(duration elapsed, duration max_duration,
                     const shutdown_times& times)
{
    const auto last_end = request_limit(times);
    return elapsed < std::min(times.balancer_reaction, last_end / 2) ||
           (elapsed < last_end && elapsed + max_duration <= last_end);
}

} // namespace baobabloft::dispatch
