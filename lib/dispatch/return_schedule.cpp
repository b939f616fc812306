#include "baobabloft/dispatch/return_schedule.hpp"

#include <algorithm>

namespace baobabloft::dispatch
{

namespace
{

/// Callers wait for Retry-After up to this share of the time that they have
/// left.
constexpr int honoured_divisor = 3;
/// Time for a caller to notice the refusal and to connect again.
constexpr duration min_pause = 20ms;
/// Returns to another router are spread over this time.
constexpr duration other_router_spread = 60ms;
/// Share of the room that opens which is planned for callers who return; the
/// rest is left for first requests.
constexpr double returning_share = 0.5;
/// Longest time between two returns. Applies as well while this router has seen
/// no request end, which says little in a large fleet.
constexpr duration max_interval = 250ms;
/// A caller who returns when the store does waits for at least this share of
/// the time for which it honours Retry-After.
constexpr double min_store_share = 0.6;
/// A request with less than this share of its route's timeout has been refused
/// before.
constexpr double returned_share = 0.9;
/// A first request waits for room for at most this share of its objective, so
/// that it can still be answered on time.
constexpr double first_wait_share = 0.5;
/// Each wait ends with an attempt that the upstream may decline.
constexpr std::uint32_t max_waits = 8;

duration scaled(duration length, double factor)
{
    return from_seconds(to_seconds(length) * factor);
}

} // namespace

bool was_refused_before(const unplaced_request& request)
{
    return request.deadline - request.arrived_at <
           scaled(request.timeout, returned_share);
}

std::optional<duration> wait_for_room(time_point now,
                                      const unplaced_request& request,
                                      const room_outlook& outlook,
                                      double random)
{
    if (!outlook.is_usable || request.waits >= max_waits)
        return std::nullopt;
    auto latest =
        request.arrived_at + scaled(request.objective, first_wait_share);
    if (was_refused_before(request))
        latest = std::max(latest, request.deadline - request.objective);
    const auto until = std::max(now + min_pause, outlook.usable_from) +
                       scaled(min_pause, random);
    if (until > std::min(latest, request.deadline - min_pause))
        return std::nullopt;
    return until - now;
}

void return_schedule::record_ended(time_point now, const std::string& service)
{
    services_[service].ended.add(now);
}

planned_return return_schedule::plan(time_point now, const std::string& service,
                                     const room_outlook& outlook,
                                     duration time_left, double random)
{
    // A caller who honours the whole pause does not return for this request.
    const auto beyond = std::max<duration>(time_left, min_pause);
    if (!outlook.is_usable)
        return {return_reason::no_upstream, beyond};
    auto& state = services_[service];
    constexpr double window_s = 2;
    const double rate = returning_share * state.ended.total(now) / window_s;
    const auto interval = rate > 0
                              ? std::min(max_interval, from_seconds(1 / rate))
                              : max_interval;
    const auto earliest =
        std::max({now + min_pause,
                  outlook.usable_elsewhere_from.value_or(outlook.usable_from),
                  state.next_return});
    const auto latest = now + time_left / honoured_divisor;
    if (earliest > latest)
        return {return_reason::no_room_in_time,
                std::max<duration>(beyond, earliest - now)};
    state.next_return = earliest + interval;
    // Other routers plan returns to the same upstreams.
    const auto spread = std::min<duration>(interval, latest - earliest);
    return {return_reason::room, earliest - now + scaled(spread, random)};
}

planned_return return_schedule::plan_other_router(double random)
{
    return {return_reason::other_router,
            min_pause + scaled(other_router_spread, random)};
}

planned_return return_schedule::plan_store_return(duration time_left,
                                                  double random)
{
    const auto honoured = time_left / honoured_divisor;
    return {return_reason::store_unavailable,
            std::max<duration>(
                min_pause,
                scaled(honoured,
                       min_store_share + (1 - min_store_share) * random))};
}

} // namespace baobabloft::dispatch
