// The datagram address of a router, shared by the relay's sources.
#pragma once

#include "baobabloft/support/endpoint.hpp"
#include "baobabloft/support/ids.hpp"

#include <optional>

namespace baobabloft::relay
{

/// Returns the id of the router that receives datagrams at `address`, or an
/// empty result if the host is not an IPv4 address.
std::optional<router_id> router_id_at(const endpoint& address);

} // namespace baobabloft::relay
