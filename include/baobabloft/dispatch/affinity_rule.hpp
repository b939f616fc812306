// Decides among how many upstreams the routers divide the requests with one
// prompt prefix. One upstream keeps the prefix cached at the lowest cost, but a
// prefix that becomes frequent overloads it before any router can see that.
#pragma once

#include <cstddef>

namespace baobabloft::dispatch
{

/// What a router knows when it chooses an upstream by affinity.
struct affinity_knowledge
{
    /// Share of the prefix in the requests; 0 unless it is known to be
    /// frequent.
    double prefix_share = 0;
    /// Mean load of the upstreams whose load is known, in requests.
    double mean_load = 0;
    /// Upstreams that may take the request.
    std::size_t upstreams = 0;
    /// The load of the most preferred of them is known.
    bool is_load_known = false;
    /// The load of an upstream that is preferred over all of them is above the
    /// limit, so the prefix may have more requests than is known.
    bool is_moved = false;
};

/// How the routers divide a prefix.
struct affinity_division
{
    /// Number of the most preferred upstreams, from 1 to
    /// affinity_knowledge::upstreams. Each router uses two of them at most.
    std::size_t width = 1;
    /// The less loaded of the router's two upstreams is chosen: the prefix is
    /// frequent.
    bool by_load = false;
};

/// Divides a prefix so widely that the load it brings to one upstream keeps
/// below the bound that users rely on, for the largest share of the requests
/// that the prefix may have as far as the router knows.
affinity_division divide_by_affinity(const affinity_knowledge& known);

} // namespace baobabloft::dispatch
