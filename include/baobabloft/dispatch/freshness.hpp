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
enum class reliance : std::uint8_t
{
    /// Nothing is known.
    none,
    /// Too old to accept a key.
    routes_only,
    /// Good enough to serve, too old to say that something does not exist.
    serve,
    full
};

inline constexpr std::array reliance_names{
    enum_name<reliance>{reliance::none, "none"},
    enum_name<reliance>{reliance::routes_only, "routes_only"},
    enum_name<reliance>{reliance::serve, "serve"},
    enum_name<reliance>{reliance::full, "full"},
};

/// Returns what a proof as of `proven_at` allows at `now`.
reliance reliance_at(time_point now, std::optional<time_point> proven_at,
                     const freshness_bounds& bounds);

/// Returns true if the router should take new connections: its proof will
/// outlast the balancer's reaction.
bool is_fresh_enough_to_attract(time_point now,
                                std::optional<time_point> proven_at,
                                const freshness_bounds& bounds);

} // namespace baobabloft::dispatch
