#include "baobabloft/dispatch/freshness.hpp"

namespace baobabloft::dispatch
{

namespace
{

/// Covers the time from the check to the upstream and clocks that run apart.
constexpr duration key_margin = 300ms;
/// Part of in_force within which a proof still tells what does not exist.
constexpr int deny_parts = 3;
constexpr int deny_of = 4;
/// The balancer asks once a second and reacts to the second miss.
constexpr duration balancer_reaction = 2s;

} // namespace

permitted_use permitted_use_at(time_point now,
                               std::optional<time_point> confirmed_at,
                               const freshness_bounds& bounds)
{
    if (!confirmed_at)
        return permitted_use::none;
    const auto age = now - *confirmed_at;
    if (age >= bounds.key_revocation - key_margin)
        return permitted_use::routes_only;
    if (age >= bounds.in_force * deny_parts / deny_of)
        return permitted_use::serve;
    return permitted_use::full;
}

bool is_fresh_enough_for_new_connections(time_point now,
                                         std::optional<time_point> confirmed_at,
                                         const freshness_bounds& bounds)
{
    return confirmed_at && now - *confirmed_at < bounds.key_revocation -
                                                     key_margin -
                                                     balancer_reaction;
}

} // namespace baobabloft::dispatch
