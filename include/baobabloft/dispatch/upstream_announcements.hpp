// What an upstream says of itself in its responses, for one of its lifetimes or
// for a time.
#pragma once

#include "baobabloft/dispatch/upstream_rate_limit.hpp"

namespace baobabloft::dispatch
{

/// The announcements of one upstream. Lifetimes are given as
/// upstream_record::started_ms.
class upstream_announcements
{
public:
    /// Records that the upstream leaves in `lifetime`. Returns false if that is
    /// known.
    bool record_leaving(std::uint64_t lifetime);
    [[nodiscard]] bool is_leaving(std::uint64_t lifetime) const;

    /// Records that the upstream asked for no requests from this router for
    /// `pause`, of which at most a minute is granted.
    void record_pause(time_point now, duration pause);
    /// Returns the end of the longest pause that the upstream asked for.
    [[nodiscard]] time_point paused_until() const;

    /// Returns the request rate that the upstream accepts in `lifetime`.
    /// Forgets that of an earlier lifetime.
    upstream_rate_limit& rate_limit(std::uint64_t lifetime);
    /// Returns it without a change, or null if it has none.
    [[nodiscard]] const upstream_rate_limit*
    known_limit(std::uint64_t lifetime) const;

    /// Returns true if nothing was announced.
    [[nodiscard]] bool is_empty() const;

private:
    std::optional<std::uint64_t> leaving_lifetime_;
    time_point paused_until_;
    upstream_rate_limit rate_limit_;
    std::uint64_t rate_limit_lifetime_ = 0;
};

} // namespace baobabloft::dispatch
