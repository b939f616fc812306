// The progress of roll-outs as the routers of a fleet report it on /rollouts.
#pragma once

#include "baobabloft/operators/fleet_client.hpp"

namespace baobabloft::operators
{

/// A roll-out as one router sees it.
struct rollout_progress
{
    /// Base URL of the router.
    std::string url{};
    std::string service{};
    std::string target{};
    /// Phase in the store; empty before one was written.
    std::string phase{};
    /// What the router does: canary, advance or revert.
    std::string stage{};
    /// Share of the requests that the target may get at the router.
    double share = 0;
    double age_s = 0;
    double finish_within_s = 0;
    /// The counts are of the whole fleet, since the router is a judge.
    bool is_judge = false;
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    std::uint64_t target_responses = 0;
    std::uint64_t target_failures = 0;
    std::uint64_t target_slow = 0;
};

/// Returns the roll-outs on `pages`; pages that are no /rollouts pages are
/// skipped.
std::vector<rollout_progress>
parse_rollouts(const std::vector<router_page>& pages);

/// Returns a line for each roll-out: as a judge sees it if one is among the
/// routers, and how many of the routers agree on the stage.
std::string rollouts_text(const std::vector<rollout_progress>& rollouts);

/// Returns all roll-outs as a JSON list.
std::string rollouts_json(const std::vector<rollout_progress>& rollouts);

/// Returns true if no roll-out is in progress.
bool are_rollouts_final(const std::vector<rollout_progress>& rollouts);

} // namespace baobabloft::operators
