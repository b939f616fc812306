#include "baobabloft/dispatch/shutdown_rules.hpp"

namespace baobabloft::dispatch
{

bool takes_request(duration waited, duration longest,
                   const shutdown_times& times)
{
    return waited < times.notice ||
           waited + longest <= times.limit - times.reserve;
}

} // namespace baobabloft::dispatch
