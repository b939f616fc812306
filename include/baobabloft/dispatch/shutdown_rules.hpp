// Decides which requests a router still accepts while it shuts down.
#pragma once

#include "baobabloft/support/time.hpp"

namespace baobabloft::dispatch
{

/// Times of a graceful shutdown. `limit` and `balancer_reaction` count from its
/// start.
struct shutdown_times
{
    /// After this time the process is killed from outside.
    duration limit = 8s;
    /// Time reserved before `limit` to close connections cleanly.
    duration reserve = 500ms;
    /// Until this time the load balancer may still send new connections.
    duration balancer_reaction = 2600ms;
};

/// Returns true if a request that may last for `max_duration` is still accepted
/// `elapsed` after the shutdown began. Every request is accepted until the load
/// balancer has reacted. Afterwards a request that could outlast the process is
/// refused: the caller reaches another router sooner than it would notice that
/// this process has ended.
bool accepts_request(duration elapsed, duration max_duration,
                     const shutdown_times& times);

} // namespace baobabloft::dispatch
