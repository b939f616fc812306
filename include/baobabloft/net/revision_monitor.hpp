// Detects that the key-value service was restored from an older copy.
#pragma once

#include "baobabloft/support/time.hpp"

#include <algorithm>
#include <cstdint>

namespace baobabloft::net
{

/// Compares the revisions in responses of the key-value service. Revisions only
/// rise until a restore, so a response whose revision is lower than one that
/// was known when its request was sent comes from a restored service. Responses
/// may arrive in any order.
class revision_monitor
{
public:
    /// What was known when a request was sent.
    struct mark
    {
        std::int64_t revision = 0;
        std::uint64_t restores = 0;
        /// Time of the last response.
        time_point known_at;
    };

    [[nodiscard]] mark current() const
    {
        return known_;
    }

    /// Records the revision in the response at `now` to a request that was sent
    /// at `sent`. Returns true if the service was restored and no earlier
    /// response has shown it.
    bool record(time_point now, const mark& sent, std::int64_t revision)
    {
        // Whether a response to a request from before the last restore precedes
        // or follows that restore is unknown.
        if (sent.restores != known_.restores)
            return false;
        if (revision >= sent.revision)
        {
            known_.revision = std::max(known_.revision, revision);
            known_.known_at = now;
            return false;
        }
        known_ = {revision, known_.restores + 1, now};
        return true;
    }

private:
    mark known_;
};

} // namespace baobabloft::net
