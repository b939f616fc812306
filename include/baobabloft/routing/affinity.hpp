// Which upstreams a chat prefers, in order. Rendezvous hashing keeps a chat on
// one upstream and moves only the chats of upstreams that come or go.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/ids.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace baobabloft::routing
{

/// Returns true if an upstream may be considered at all.
using upstream_filter = std::function<bool(const config::upstream&)>;

/// Returns up to `count` upstreams of `service` that `eligible` admits, best
/// first. Upstreams of `region` come before those of other regions.
std::vector<const config::upstream*>
rank_upstreams(const config::preset& preset, const config::service& service,
               std::uint64_t key, std::string_view region, std::size_t count,
               const upstream_filter& eligible);

/// Returns the member of `routers` that owns `upstream`, or nothing for an
/// empty fleet. `routers` must be those of the upstream's region.
std::optional<router_id> owner_of(upstream_id upstream,
                                  const std::vector<router_id>& routers);

} // namespace baobabloft::routing
