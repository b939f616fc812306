// Judges a new version of a service from the counts of all routers: gathers
// their reports and compares the new version's failures and slow responses with
// those of the old version on the same routes. Does no I/O.
#pragma once

#include "baobabloft/dispatch/rollout_messages.hpp"
#include "baobabloft/support/time.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace baobabloft::dispatch
{

/// Counts of responses, as in rollout_cell.
struct rollout_counts
{
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;
    std::array<std::uint32_t, rollout_latency_buckets> latencies{};

    rollout_counts& operator+=(const rollout_counts& other);
    rollout_counts& operator-=(const rollout_counts& other);
};

/// Evidence against a version: natural logarithms of the ratio between the
/// probability of what was seen if the version is bad, and if it is good.
struct rollout_evidence
{
    double failures = 0;
    double slowness = 0;
    /// Greatest excess of either, in any window, above the threshold of that
    /// window; the version is condemned from 0 on.
    double excess = -1;

    [[nodiscard]] double greatest() const
    {
        return std::max(failures, slowness);
    }
};

/// Sums over the fleet.
struct rollout_sums
{
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    std::uint64_t target_responses = 0;
    std::uint64_t target_failures = 0;
};

/// The evidence that one judge has on one order.
class rollout_judge
{
public:
    void add_report(time_point now, router_id from,
                    const rollout_report& report);
    /// Weighs the evidence; to be called several times a second.
    const rollout_evidence& evaluate(time_point now);

    [[nodiscard]] const rollout_evidence& evidence() const
    {
        return evidence_;
    }
    [[nodiscard]] const rollout_sums& sums() const
    {
        return sums_;
    }
    /// Returns the target's slow responses as of the last evaluation.
    [[nodiscard]] std::uint64_t slow_responses() const
    {
        return slow_responses_;
    }
    /// Returns the number of routers that reported within `age`, and of those
    /// that have no request in progress at upstreams of other versions.
    [[nodiscard]] std::size_t fresh_reporters(time_point now, duration age,
                                              bool moved_only = false) const;

private:
    /// Route and upstream; the upstream is 0 for all others together.
    using cell_key = std::pair<std::uint32_t, upstream_id>;
    using cell_counts = std::map<cell_key, rollout_counts>;

    struct reporter
    {
        std::uint32_t lifetime = 0;
        std::uint32_t former_lifetime = 0;
        time_point at;
        std::uint32_t requests = 0;
        std::uint32_t target_requests = 0;
        std::uint16_t others_in_progress = 0;
        cell_counts cells;
    };

    [[nodiscard]] cell_counts counts_since(time_point since) const;

    std::map<router_id, reporter> reporters_;
    cell_counts totals_;
    /// Totals of the last seconds, oldest first.
    std::deque<std::pair<time_point, cell_counts>> history_;
    rollout_sums sums_;
    rollout_evidence evidence_;
    std::uint64_t slow_responses_ = 0;
};

} // namespace baobabloft::dispatch
