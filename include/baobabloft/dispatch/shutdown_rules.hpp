// Decides which requests a router still accepts while it shuts down, and when
// it ends those in progress.
#pragma once

#include "baobabloft/support/time.hpp"

#include <cstdint>

namespace baobabloft::dispatch
{

/// Times of a graceful shutdown. `limit` and `balancer_reaction` count from its
/// start.
struct shutdown_times
{
    /// After this time the process is killed from outside.
    duration limit = 8s;
    /// Time reserved before `limit` to answer requests that are still in
    /// progress and to close connections cleanly; at most half of the limit.
    duration reserve = 500ms;
    /// Until this time the load balancer may still send new connections.
    duration balancer_reaction = 2600ms;
};

enum class shutdown_phase : std::uint8_t
{
    /// The load balancer may still send new connections.
    serving,
    /// Connections without a request are closed.
    closing_idle,
    /// No request runs any more. Late requests are refused, and the last
    /// answers are sent.
    refusing,
    /// The process must end.
    over
};

/// Returns the phase `elapsed` after the shutdown began.
shutdown_phase shutdown_phase_at(duration elapsed, const shutdown_times& times);

/// Returns the time after the start of the shutdown at which the last requests
/// must end.
duration request_limit(const shutdown_times& times);

/// Returns true if a request that may last for `max_duration` is still accepted
/// `elapsed` after the shutdown began. Every request is accepted until the load
/// balancer has reacted, or for half of the time if that is shorter. Afterwards
/// a request that could outlast the process is refused: the caller reaches
/// another router sooner than it would get an answer here.
bool accepts_request(duration elapsed, duration max_duration,
                     const shutdown_times& times);

} // namespace baobabloft::dispatch
