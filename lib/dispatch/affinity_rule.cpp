#include "baobabloft/dispatch/affinity_rule.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::dispatch
{

namespace
{

/// A prefix may bring an upstream this multiple of the mean load plus a slack,
/// in requests. Other prefixes bring it the mean load, and the sum is the load
/// above which a router sends requests elsewhere.
constexpr double room_multiple = 0.5;
constexpr double room_slack = 1;
/// Assumed of a prefix while the load of its upstream is unknown: the share of
/// all requests, and the mean load that the fleet may already have.
constexpr double assumed_share = 0.2;
constexpr double assumed_mean_load = 3;
/// With few upstreams a single prefix may well have a larger share.
constexpr double min_unknown_width = 3;
/// Requests that their preferred upstream cannot take are divided among at
/// least so many others, since all routers move them at the same moment.
constexpr std::size_t moved_width = 4;

/// Returns the number of upstreams that have room for a prefix with this share
/// of all requests.
double width_for(double share, double mean_load, std::size_t upstreams)
{
    return share * mean_load * static_cast<double>(upstreams) /
           (room_multiple * mean_load + room_slack);
}

} // namespace

affinity_division divide_by_affinity(const affinity_knowledge& known)
{
    const double known_width =
        width_for(known.prefix_share, known.mean_load, known.upstreams);
    const bool is_frequent = known_width > 1;
    double width = is_frequent ? std::max(known_width, 2.0) : 1;
    if (!known.is_load_known)
        width =
            std::max({width, min_unknown_width,
                      width_for(assumed_share,
                                std::max(known.mean_load, assumed_mean_load),
                                known.upstreams)});
    auto result = static_cast<std::size_t>(std::ceil(width));
    if (known.is_moved)
        result = std::max(result, moved_width);
    result = std::min(result, known.upstreams);
    return {.width = std::max<std::size_t>(result, 1),
            .by_load = is_frequent && result > 1};
}

} // namespace baobabloft::dispatch
