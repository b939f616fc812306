// Messages with which routers gather the evidence on a new version of a service
// at its judges, and learn from them how many requests it may get.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace baobabloft::dispatch
{

/// Identifies one order of a roll-out between routers: low 32 bits of the hash
/// of service, target and revision of the order.
enum class rollout_id : std::uint32_t
{
};

/// Number of buckets of rollout_cell::latencies.
inline constexpr std::size_t rollout_latency_buckets = 10;

/// Responses of one route's requests, from one upstream of the target version
/// or from all upstreams of other versions together, since the order.
struct rollout_cell
{
    /// Low 32 bits of the hash of the route's name.
    std::uint32_t route = 0;
    /// 0 for all upstreams of other versions together.
    upstream_id upstream{};
    /// Responses, including failures.
    std::uint16_t responses = 0;
    std::uint16_t failures = 0;
    /// Responses without failures by the time to their first byte of content:
    /// bucket i counts times up to 2^i x 20 ms, the last one all longer ones.
    std::array<std::uint16_t, rollout_latency_buckets> latencies{};
};

/// What one router saw since the order; sent to each judge. Counts are totals,
/// so that a lost report is made good by the next one.
struct rollout_report
{
    rollout_id rollout{};
    /// Distinguishes lifetimes of the sender, whose totals restart.
    std::uint32_t lifetime = 0;
    /// Time since the sender or any router it heard from saw the order.
    std::uint32_t order_age_ms = 0;
    /// Requests of the service sent to any version, and to the target.
    std::uint32_t requests = 0;
    std::uint32_t target_requests = 0;
    /// Requests in progress at upstreams of other versions.
    std::uint16_t others_in_progress = 0;
    std::vector<rollout_cell> cells;
};

/// What the routers do in a roll-out.
enum class rollout_stage : std::uint8_t
{
    /// The target gets a share of the requests below the exposure.
    canary,
    /// The target's share grows to all requests.
    advance,
    /// The target gets no requests.
    revert
};

inline constexpr std::array rollout_stage_names{
    enum_name<rollout_stage>{rollout_stage::canary, "canary"},
    enum_name<rollout_stage>{rollout_stage::advance, "advance"},
    enum_name<rollout_stage>{rollout_stage::revert, "revert"},
};

/// Unit of rollout_response::share_steps.
inline constexpr double rollout_share_step = 1.0 / 255;

/// Response of a judge to a rollout_report.
struct rollout_response
{
    rollout_id rollout{};
    rollout_stage stage = rollout_stage::canary;
    /// Share of the requests that the target may get, in rollout_share_step.
    std::uint8_t share_steps = 0;
    /// Age of the order as known to the judge.
    std::uint32_t order_age_ms = 0;
};

} // namespace baobabloft::dispatch
