// What a router may decide from a configuration that was last proven in force
// some time ago. Times are on a clock that counts while the host is suspended.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>

namespace baobabloft::dispatch
{

/// Ages up to which a proof counts.
struct freshness_bounds
{
    /// A key that was taken away is refused everywhere after this.
    duration key_revocation = 5s;
    /// A configuration is in force everywhere after this.
    duration in_force = 2s;
};

/// How far a configuration may be relied on.
enum class permitted_use : std::uint8_t
{
    /// Nothing is known.
    none,
    /// Too old to accept a key.
    routes_only,
    /// Good enough to serve, too old to say that something does not exist.
    serve,
    full
};

inline constexpr std::array permitted_use_names{
    enum_name<permitted_use>{permitted_use::none, "none"},
    enum_name<permitted_use>{permitted_use::routes_only, "routes_only"},
    enum_name<permitted_use>{permitted_use::serve, "serve"},
    enum_name<permitted_use>{permitted_use::full, "full"},
};

/// Returns what a proof as of `proven_at` allows at `now`.
permitted_use permitted_use_at(time_point now,
                               std::optional<time_point> confirmed_at,
                               const freshness_bounds& bounds);

/// Returns true if the router should take new connections: its proof will
/// outlast the balancer's reaction.
bool is_fresh_enough_for_new_connections(time_point now,
                                         std::optional<time_point> confirmed_at,
                                         const freshness_bounds& bounds);

} // namespace baobabloft::dispatch
