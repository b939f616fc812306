// Placement policies that decide from delayed load reports, without permits.
// The benchmarks use them as baselines for permits.
#pragma once

#include "baobabloft/config/preset.hpp"

#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace baobabloft::routing
{

/// The information of a router without permits: the delayed load report of each
/// upstream.
struct reported_loads
{
    std::vector<std::uint32_t> by_index;
};

/// Chooses an upstream for a chat.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns the name of the policy in benchmark reports.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Returns the index of the upstream for `chat` in `upstreams`.
    virtual std::size_t choose(chat_id chat,
                               const std::vector<upstream_id>& upstreams,
                               const reported_loads& loads) = 0;
};

/// Returns a policy that always chooses the first upstream by rendezvous hash.
std::unique_ptr<placement_policy> make_hash_placement();

/// Returns a policy that chooses the less loaded of two random upstreams.
std::unique_ptr<placement_policy>
make_two_choices_placement(std::uint64_t seed);

/// Returns a policy that chooses the first upstream by rendezvous hash whose
/// reported load is below `multiple` times the mean.
std::unique_ptr<placement_policy> make_bounded_placement(double multiple);

} // namespace baobabloft::routing
