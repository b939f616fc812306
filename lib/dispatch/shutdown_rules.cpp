#include "baobabloft/dispatch/shutdown_rules.hpp"

namespace baobabloft::dispatch
{

bool accepts_request(duration waited, duration longest,
                     const shutdown_times& times)
{
    return waited < times.balancer_reaction ||
           waited + longest <= times.limit - times.reserve;
}

} // namespace baobabloft::dispatch
