#include "baobabloft/dispatch/shutdown_rules.hpp"

namespace baobabloft::dispatch
{

bool accepts_request(duration elapsed, duration max_duration,
                     const shutdown_times& times)
{
    return elapsed < times.balancer_reaction ||
           elapsed + max_duration <= times.limit - times.reserve;
}

} // namespace baobabloft::dispatch
