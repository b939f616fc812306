// Placement policies that decide from old load reports, without permits. They
// serve as baselines: the benchmarks compare permits against them.
#pragma once

#include "baobabloft/config/preset.hpp"

#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace baobabloft::routing
{

/// What a router without permits knows: each upstream's load, some time ago.
struct reported_loads
{
    std::vector<std::uint32_t> by_index;
};

/// Chooses an upstream for a chat.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns the name by which reports list the policy.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Returns the index of the upstream for `chat` in `upstreams`.
    virtual std::size_t choose(chat_id chat,
                               const std::vector<upstream_id>& upstreams,
                               const reported_loads& loads) = 0;
};

/// Always the first choice by rendezvous hash.
std::unique_ptr<placement_policy> make_hash_placement();

/// The less loaded of two random upstreams.
std::unique_ptr<placement_policy>
make_two_choices_placement(std::uint64_t seed);

/// The first choice whose reported load is below `multiple` of the mean.
std::unique_ptr<placement_policy> make_bounded_placement(double multiple);

} // namespace baobabloft::routing
