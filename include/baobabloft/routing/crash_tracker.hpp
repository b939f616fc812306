// Finds requests that crash upstreams. A request that was running on an
// upstream when that upstream crashed is a suspect: during its next attempt no
// other suspect runs on the same upstream. A request that was running at a
// second crash is quarantined.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <unordered_map>
#include <vector>

namespace baobabloft::routing
{

/// What the crashes seen so far say about a request body.
enum class crash_state
{
    clear,
    /// Was running on an upstream that crashed.
    suspect,
    /// Was running at a second crash; refused.
    quarantined
};

/// Crash history per request fingerprint.
class crash_tracker
{
public:
    /// Records that `upstream` crashed while it ran `request`. Several reports
    /// about the same upstream within a short time count as one crash.
    void record_crash(time_point now, fingerprint request,
                      upstream_id upstream);

    /// Clears the suspicion against `request` after an upstream responded to
    /// it. A quarantined request stays quarantined.
    void clear_suspicion(fingerprint request);

    [[nodiscard]] crash_state state_of(time_point now,
                                       fingerprint request) const;

    /// Returns the number of quarantined requests.
    [[nodiscard]] std::size_t quarantined_count(time_point now) const;

private:
    struct crash
    {
        upstream_id upstream{};
        time_point reported_at;
    };

    struct crash_history
    {
        std::vector<crash> crashes;
        time_point updated_at;
    };

    void erase_expired(time_point now);

    std::unordered_map<fingerprint, crash_history> histories_;
};

} // namespace baobabloft::routing
