// Limits the calls of a fleet to a store that responds to no router. A few
// routers call it often enough to notice its return; the others learn of it
// from them and call it rarely.
#pragma once

#include "baobabloft/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace baobabloft::directory
{

/// Settings of the pace.
struct store_pace_options
{
    /// If no router is known to have had a response from the store for this
    /// long, and it does not respond to this router, it counts as unavailable.
    duration unavailable_after = std::chrono::milliseconds{2200};
    /// Pause of a router that watches the store for others.
    duration watcher_pause = std::chrono::milliseconds{400};
    /// Calls per second that all other routers make together.
    double other_calls_per_second = 10;
    /// Longest pause of any router: the store may return for routers that none
    /// of the watching ones can reach.
    duration max_pause = std::chrono::seconds{4};
};

/// The pace of one router.
class store_pace
{
public:
    /// `router_hash` determines the router's place in the order of calls.
    store_pace(const store_pace_options& options, std::uint64_t router_hash);

    /// Records the result of a call of this router to the store.
    void record_response();
    void record_failure(time_point now);

    /// Returns true if the store counts as unavailable. `last_response` is the
    /// latest time at which it is known to have responded to any router.
    [[nodiscard]] bool is_unavailable(time_point now,
                                      time_point last_response) const;

    /// Returns true if a router of a fleet of `routers` may call the
    /// unavailable store.
    [[nodiscard]] bool is_call_due(time_point now, bool is_watcher,
                                   std::size_t routers) const;

private:
    store_pace_options options_;
    std::uint64_t router_hash_;
    std::optional<time_point> failed_at_;
};

} // namespace baobabloft::directory
