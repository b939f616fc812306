// Finds requests that crash upstreams. A request that ran on an upstream when
// it crashed is a suspect; its next attempt runs beside no other suspect. A
// request present at a second crash is quarantined.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <unordered_map>
#include <vector>

namespace baobabloft::routing
{

/// What is known of a request body.
enum class crash_state
{
    clear,
    /// Was on an upstream that crashed.
    suspect,
    /// Is refused.
    quarantined
};

/// Crashes by request fingerprint.
class crash_tracker
{
public:
    /// Records that `upstream` crashed while it ran `request`. Several reports
    /// of one upstream within a short time count as one crash.
    void record_crash(time_point now, fingerprint request,
                      upstream_id upstream);

    /// Records that `request` got an answer, which clears a suspect.
    void clear_suspicion(fingerprint request);

    [[nodiscard]] crash_state state_of(time_point now,
                                       fingerprint request) const;

    /// Returns the number of quarantined requests.
    [[nodiscard]] std::size_t quarantined_count(time_point now) const;

private:
    struct crash
    {
        upstream_id upstream{};
        time_point at;
    };

    struct history
    {
        std::vector<crash> crashes;
        time_point updated;
    };

    void forget_old(time_point now);

    std::unordered_map<fingerprint, history> histories_;
};

} // namespace baobabloft::routing
