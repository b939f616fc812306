// Limits of roll-outs, and where the requests of a service may go during one.
#pragma once

#include "baobabloft/dispatch/rollout_messages.hpp"
#include "baobabloft/support/time.hpp"

#include <string>

namespace baobabloft::dispatch
{

/// Limits of a roll-out, from the deployment's settings.
struct rollout_options
{
    /// Share of a service's requests, between the order and its time limit,
    /// that a bad version may get.
    double exposure = 0.1;
    /// Requests beyond that share.
    double exposure_slack = 50;
    /// Time from the fiftieth bad response of a version to its last request.
    duration revert_bound = 5s;
};

/// The upstreams of a service that may get requests, by version.
struct rollout_upstreams
{
    std::size_t of_target = 0;
    std::size_t of_others = 0;
};

/// The versions of a service that may get a request.
enum class version_rule : std::uint8_t
{
    any,
    target_only,
    others_only
};

/// Where a request of a service may go.
struct version_choice
{
    version_rule rule = version_rule::any;
    /// The target named by the rule; empty for any.
    std::string target;
    /// Number of the target's upstreams among which the requests are divided,
    /// so that each has the load of a usual one; 0 for all.
    std::size_t target_width = 0;
};

} // namespace baobabloft::dispatch
