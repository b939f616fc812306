// Decides how a router may use its configuration, by the time since the store
// last confirmed it. Times are on a clock that also runs while the host is
// suspended.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>

namespace baobabloft::dispatch
{

/// Time limits for changes of the configuration to take effect on every router.
struct freshness_bounds
{
    /// Every router refuses a revoked key after this time.
    duration key_revocation = 5s;
    /// Every router applies a new configuration after this time.
    duration in_force = 2s;
};

/// What else is known of a configuration that the store confirmed.
enum class config_doubt : std::uint8_t
{
    none,
    /// The store was restored from a copy a moment ago and may lack
    /// configurations that were confirmed.
    store_restored,
    /// A newer one is known to exist. It was written after the confirmation.
    superseded
};

/// What a configuration may be used for.
enum class permitted_use : std::uint8_t
{
    /// Nothing: no configuration was ever confirmed.
    none,
    /// Nothing: a newer configuration should be in force already.
    superseded,
    /// Public routes only: too old to accept a key.
    routes_only,
    /// Serving requests, but too old to report that a route or a key does not
    /// exist.
    serve,
    /// Every decision.
    full
};

inline constexpr std::array permitted_use_names{
    enum_name<permitted_use>{permitted_use::none, "none"},
    enum_name<permitted_use>{permitted_use::superseded, "superseded"},
    enum_name<permitted_use>{permitted_use::routes_only, "routes_only"},
    enum_name<permitted_use>{permitted_use::serve, "serve"},
    enum_name<permitted_use>{permitted_use::full, "full"},
};

/// Returns what a configuration last confirmed at `confirmed_at` may be used
/// for at `now`. Without a value, no configuration was ever confirmed.
permitted_use permitted_use_at(time_point now,
                               std::optional<time_point> confirmed_at,
                               const freshness_bounds& bounds,
                               config_doubt doubt = config_doubt::none);

/// Returns true if the router should take new connections: even without a
/// further confirmation it could still accept keys until the load balancer has
/// reacted to a change of readiness.
bool is_fresh_enough_for_new_connections(time_point now,
                                         std::optional<time_point> confirmed_at,
                                         const freshness_bounds& bounds);

} // namespace baobabloft::dispatch
