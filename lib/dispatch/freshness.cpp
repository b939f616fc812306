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

reliance reliance_at(time_point now, std::optional<time_point> proven_at,
                     const freshness_bounds& bounds)
{
    if (!proven_at)
        return reliance::none;
    const auto age = now - *proven_at;
    if (age >= bounds.key_revocation - key_margin)
        return reliance::routes_only;
    if (age >= bounds.in_force * deny_parts / deny_of)
        return reliance::serve;
    return reliance::full;
}

bool is_fresh_enough_to_attract(time_point now,
                                std::optional<time_point> proven_at,
                                const freshness_bounds& bounds)
{
    return proven_at && now - *proven_at < bounds.key_revocation - key_margin -
                                               balancer_reaction;
}

} // namespace baobabloft::dispatch
