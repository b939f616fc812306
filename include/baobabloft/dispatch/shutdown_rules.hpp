// What a router that shuts down still takes.
#pragma once

#include "baobabloft/support/time.hpp"

namespace baobabloft::dispatch
{

/// Times of a graceful shutdown.
struct shutdown_times
{
    /// After this the process is ended from outside.
    duration limit = 8s;
    /// Kept free at the end to close connections in order.
    duration reserve = 500ms;
    /// Until then the balancer may not have noticed.
    duration balancer_reaction = 2600ms;
};

/// Returns true if a request that may last for `longest` is still taken
/// `waited` after the shutdown began. Until the balancer has noticed, every
/// request is; afterwards one that could outlast the process is refused, since
/// the caller finds another router sooner than it would find out.
bool accepts_request(duration waited, duration longest,
                     const shutdown_times& times);

} // namespace baobabloft::dispatch
