// Ranks the upstreams of a service for a chat. Rendezvous hashing keeps a chat
// on one upstream and moves only the chats of upstreams that are added or
// removed.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/ids.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace baobabloft::routing
{

/// Returns true if an upstream is a possible candidate.
using upstream_filter = std::function<bool(const config::upstream&)>;

/// Returns up to `count` upstreams of `service` for which `eligible` holds,
/// best first. Upstreams in `region` rank before those in other regions.
std::vector<const config::upstream*>
rank_upstreams(const config::preset& preset, const config::service& service,
               std::uint64_t key, std::string_view region, std::size_t count,
               const upstream_filter& eligible);

/// Returns the member of `routers` that owns `upstream`, or nothing if
/// `routers` is empty. `routers` must be the routers of the upstream's region
/// or, if that has none, those of the whole fleet.
std::optional<router_id> owner_of(upstream_id upstream,
                                  const std::vector<router_id>& routers);

} // namespace baobabloft::routing
