#include "baobabloft/dispatch/freshness.hpp"

namespace baobabloft::dispatch
{

namespace
{

/// Covers the time from the check until the request reaches the upstream, and
/// clocks that run at different rates.
constexpr duration key_margin = 300ms;
/// Fraction of `in_force` up to which a confirmed configuration may still be
/// used to report that something does not exist.
constexpr int deny_numerator = 3;
constexpr int deny_denominator = 4;
/// The load balancer checks readiness once a second and reacts to the second
/// failed check.
constexpr duration balancer_reaction = 2s;

} // namespace

permitted_use permitted_use_at(time_point now,
                               std::optional<time_point> confirmed_at,
                               const freshness_bounds& bounds,
                               config_doubt doubt)
{
    if (!confirmed_at)
        return permitted_use::none;
    const auto age = now - *confirmed_at;
    if (doubt == config_doubt::superseded && age >= bounds.in_force)
        return permitted_use::superseded;
    if (age >= bounds.key_revocation - key_margin)
        return permitted_use::routes_only;
    if (doubt != config_doubt::none ||
        age >= bounds.in_force * deny_numerator / deny_denominator)
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
