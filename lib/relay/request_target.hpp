// Which service of a route a request goes to, and what it shares with others.
#pragma once

#include "baobabloft/relay/platform_interface.hpp"
#include "baobabloft/routing/crash_protection.hpp"

namespace baobabloft::relay
{

/// What the prompt parts of a request determine.
struct request_target
{
    /// Id of the longest prompt prefix shared with other requests.
    std::optional<std::uint64_t> affinity;
    std::uint32_t shared_prefix_tokens = 0;
    /// The parts of the prompt that others may share.
    std::vector<request_feature> features;
};

/// Reads the prompt parts in `text`, as the header of a request has them.
request_target target_of(const directory::route& route,
                         const header_dialect& dialect, std::string_view text);

/// Returns the sum of the weights of the route's services.
std::uint64_t total_weight(const directory::route& route);

/// Returns the number by which service_at() chooses the service of requests
/// with an affinity. Requests with the same prefix get the same service.
std::uint64_t affinity_offset(const directory::route& route,
                              const request_target& target);

/// Returns the service that `offset`, a random number, draws by weight, or null
/// if the route has none.
const directory::weighted_service* service_at(const directory::route& route,
                                              std::uint64_t offset);

} // namespace baobabloft::relay
