// Finds parts of prompts that crash upstreams. Requests that share such a part
// need not be alike otherwise, so a hash of the request does not find them.
//
// A part is suspected if requests with it were running at several crashes, and
// cleared by any request with it that ended well. No router sees enough of
// either, so each part has a few judges among the routers: they receive the
// reports of crashes, ask all routers for successes, and quarantine the part if
// there are none. Does no I/O: messages to send are returned.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace baobabloft::routing
{

/// Settings of crashing_parts.
struct crashing_parts_options
{
    /// Crashes, each of another request, at which a part is suspected.
    std::size_t crashes_to_suspect = 3;
    /// Crashes and successes are forgotten after this time.
    duration memory = 30s;
    /// Time for which a judge waits for reports of successes.
    duration success_wait = 300ms;
    /// Time from the quarantine of a part to the first request that is let
    /// through to find out whether it still crashes upstreams. Later times are
    /// each longer by a factor of `trial_pause_growth`.
    duration trial_pause = 10s;
    int trial_pause_growth = 4;
    /// A quarantine ends by itself after this time without a crash.
    duration quarantine_lifetime = 600s;
};

/// What a judge has decided about the parts that it suspects.
struct part_decisions
{
    /// Questions for all routers.
    std::vector<part_query> queries;
    /// Parts to quarantine at all routers. Each is returned several times,
    /// since datagrams may be lost.
    std::vector<prompt_part_id> quarantined;
};

/// What one router knows about parts of prompts.
class crashing_parts
{
public:
    explicit crashing_parts(const crashing_parts_options& options = {});

    /// Records that a request with `parts` ended well. Returns those of them
    /// that were quarantined until now; all routers need to know that they are
    /// cleared.
    std::vector<prompt_part_id>
    record_success(time_point now, std::span<const prompt_part_id> parts);

    /// Records a crash, as a judge of the reported parts. Returns those that
    /// are quarantined already.
    std::vector<prompt_part_id> record_crash(time_point now,
                                             const part_crash_report& report);

    /// Returns the queries and quarantines that are due at `now`. Each is
    /// returned once, but for repetitions of a quarantine.
    part_decisions take_decisions(time_point now);

    /// Returns the queried parts with which a request has ended well here.
    [[nodiscard]] std::vector<prompt_part_id>
    successes(time_point now, const part_query& query) const;

    /// Clears parts with which a request ended well at another router.
    void clear(time_point now, std::span<const prompt_part_id> parts);

    /// Quarantines a part that a judge found to crash upstreams. With
    /// `may_try`, this router lets a request through now and then. Returns
    /// false if the part is in quarantine already.
    bool quarantine(time_point now, prompt_part_id part, bool may_try);

    /// Returns the first quarantined part of a request.
    [[nodiscard]] std::optional<prompt_part_id>
    find_quarantined(time_point now,
                     std::span<const prompt_part_id> parts) const;

    /// Returns true if a new request with the quarantined `part` may run as a
    /// trial, and starts the trial.
    bool try_begin_trial(time_point now, prompt_part_id part);

    /// Returns all parts in quarantine.
    [[nodiscard]] std::vector<prompt_part_id> quarantined(time_point now) const;

private:
    struct crash
    {
        fingerprint request{};
        upstream_id upstream{};
        time_point at;
    };

    struct suspicion
    {
        std::vector<crash> crashes;
        /// Set while reports of successes are awaited.
        std::optional<time_point> queried_at;
    };

    struct quarantine_record
    {
        time_point updated_at;
        time_point next_trial_at;
        duration trial_pause{0};
        bool may_try = false;
    };

    /// A quarantine that this router announces once more.
    struct announcement
    {
        prompt_part_id part{};
        time_point at;
    };

    [[nodiscard]] bool succeeded_since(prompt_part_id part,
                                       time_point since) const;
    void erase_expired(time_point now);

    crashing_parts_options options_;
    std::unordered_map<prompt_part_id, suspicion> suspicions_;
    std::unordered_map<prompt_part_id, quarantine_record> quarantined_;
    /// Last success of each part here, or as another router reported it.
    std::unordered_map<prompt_part_id, time_point> own_successes_;
    std::unordered_map<prompt_part_id, time_point> reported_successes_;
    std::vector<announcement> announcements_;
    time_point next_expiry_;
};

/// Number of routers that judge each part, so that it is judged even if one or
/// two of them are down.
inline constexpr std::size_t judges_per_part = 3;

/// Returns the indexes of the routers that judge `part`, the first of which may
/// try it. `router_hashes` are the hashes of the routers' names.
std::vector<std::size_t>
judges_of(prompt_part_id part, std::span<const std::uint64_t> router_hashes);

} // namespace baobabloft::routing
