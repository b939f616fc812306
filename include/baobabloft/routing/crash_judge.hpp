// Decides which features of requests crash upstreams. A feature is suspected if
// requests with it were running at several crashes, and cleared by any request
// with it that ended well. No router sees enough of either, so each feature has
// a few judges among the routers: they receive the reports of crashes and ask
// all routers for successes. Does no I/O.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace baobabloft::routing
{

/// A crash of an upstream. Several requests may have been running there.
struct crash_event
{
    upstream_id upstream{};
    time_point at;
};

/// Returns true if both describe the same crash, as different routers may have
/// noticed it.
[[nodiscard]] bool is_same_crash(const crash_event& left,
                                 const crash_event& right);

/// Settings of crash_judge.
struct crash_judge_options
{
    /// Crashes at which a repeated request is suspected.
    std::size_t crashes_of_request = 2;
    /// Crashes, each of another request, at which a shared part is suspected.
    std::size_t crashes_of_part = 3;
    /// A suspicion ends after this time without a crash.
    duration memory = 600s;
    /// Time for which a judge waits for reports of successes.
    duration success_wait = 300ms;
};

/// A feature that crashes upstreams.
struct crash_verdict
{
    request_feature feature{};
    /// The feature stands for all repetitions of one request.
    bool is_whole_request = false;
    /// The crashes on which the verdict is based.
    std::vector<crash_event> crashes;
};

/// What a judge has decided about the features that it suspects.
struct judge_decisions
{
    /// Questions for all routers.
    std::vector<success_query> queries;
    std::vector<crash_verdict> verdicts;
};

/// The suspicions of one router against the features that it judges.
class crash_judge
{
public:
    /// Returns true if all of the crashes have another cause that is known.
    using explanation = std::function<bool(const crash_verdict& suspect)>;

    explicit crash_judge(const crash_judge_options& options = {});

    /// Records a crash against `feature`. `is_whole_request` is true if the
    /// feature identifies a repeated request rather than a part of prompts.
    void record_crash(time_point now, request_feature feature,
                      const feature_crash_report& report,
                      bool is_whole_request);

    /// Drops the suspicion against features after a success that followed the
    /// first of the crashes.
    void clear(std::span<const request_feature> features);

    /// Returns the crashes with which a feature is charged.
    [[nodiscard]] std::vector<crash_event>
    crashes_of(request_feature feature) const;

    /// Records that requests with these features ended well before the first
    /// of the crashes. Another feature of the same requests is then the more
    /// likely cause, so the decision waits for its judges.
    void record_older_successes(std::span<const request_feature> features);

    /// Returns the queries and verdicts that are due at `now`. A feature is not
    /// judged while all of its crashes are explained otherwise.
    judge_decisions take_decisions(time_point now,
                                   const explanation& is_explained);

private:
    struct charge
    {
        fingerprint request{};
        crash_event crash;
    };

    struct suspicion
    {
        std::vector<charge> charges;
        bool is_whole_request = false;
        /// Set while reports of successes are awaited.
        std::optional<time_point> queried_at;
        bool query_repeated = false;
        bool has_older_success = false;
    };

    [[nodiscard]] std::size_t threshold_of(const suspicion& item) const;
    void erase_expired(time_point now);

    crash_judge_options options_;
    std::unordered_map<request_feature, suspicion> suspicions_;
    time_point next_expiry_;
};

/// Number of routers that judge each feature, so that it is judged even if one
/// or two of them are down.
inline constexpr std::size_t judges_per_feature = 3;

/// Returns the indexes of the routers that judge `feature`, in the order in
/// which they are asked for trials. `router_hashes` are the hashes of the
/// routers' names.
std::vector<std::size_t>
judges_of(request_feature feature,
          std::span<const std::uint64_t> router_hashes);

} // namespace baobabloft::routing
