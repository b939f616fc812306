#include "baobabloft/dispatch/rollout_gate.hpp"

#include "baobabloft/support/hash.hpp"

#include <cmath>

namespace baobabloft::dispatch
{

namespace
{

/// Parts of the exposure and of its slack that the routers use; the rest is
/// for requests that routers send before they learn of a verdict, and for
/// routers that restart and count anew.
constexpr double used_exposure = 0.8;
constexpr double used_slack = 0.5;
/// Part of the present rate of requests that is expected to go on until the
/// time limit.
constexpr double expected_part = 0.75;
/// Requests expected after the canary, in units of those during it, from whose
/// exposure the canary takes its part.
constexpr double advance_part = 0.5;
/// A router that learns that the order is older than this has restarted, and
/// its earlier lifetime used its part of the slack.
constexpr duration slack_age = 2s;
/// Time in which the target's share grows from the canary's to all.
constexpr duration ramp = 2s;
/// Age of the order up to which a canary's requests go to all upstreams of the
/// target, while these are cold, and then to a few of them.
constexpr duration wide_time = 3s;
/// Ages above the order's time by more than this are not plausible.
constexpr duration max_excess_age = 60s;
/// Upstreams among which a canary's requests are divided, so that a bad one
/// can be distinguished from a bad version.
constexpr std::size_t min_width = 5;

/// Returns a value from 0 to 1 that is evenly distributed over the hashes.
double fraction_of(std::uint64_t hash)
{
    return std::ldexp(static_cast<double>(hash), -64);
}

} // namespace

void rollout_gate::update(const directory::known_rollout& rollout,
                          const rollout_upstreams& upstreams)
{
    order_ = rollout.order;
    phase_ = rollout.phase;
    first_seen_ = std::min(first_seen_, rollout.first_seen);
    upstreams_ = upstreams;
    saw_others_ = saw_others_ || upstreams.of_others > 0;
}

duration rollout_gate::age(time_point now) const
{
    const auto start =
        earlier_start_ ? std::min(*earlier_start_, first_seen_) : first_seen_;
    return std::clamp(now - start, duration{0},
                      order_.finish_within + max_excess_age);
}

void rollout_gate::learn_age(time_point now, std::uint32_t age_ms)
{
    const auto learned =
        std::min<duration>(std::chrono::milliseconds{age_ms},
                           order_.finish_within + max_excess_age);
    if (learned > age(now))
        earlier_start_ = now - learned;
}

double rollout_gate::share(time_point now) const
{
    if (phase_ == directory::rollout_phase::complete)
        return 1;
    if (phase_ == directory::rollout_phase::reverted ||
        stage_ == rollout_stage::revert || !response_at_)
        return 0;
    const bool is_recent = now - *response_at_ <= options_.response_timeout;
    if (stage_ == rollout_stage::canary)
        return is_recent ? judge_share_ : 0;
    // Without responses, the share stays what it was then.
    const auto until = std::min(now, *response_at_ + options_.response_timeout);
    const double part = std::clamp(
        to_seconds(until - *advance_at_) / to_seconds(ramp), 0.0, 1.0);
    return std::max(part * part, judge_share_);
}

bool rollout_gate::has_budget(time_point now) const
{
    const bool has_restarted =
        earlier_start_ && first_seen_ - *earlier_start_ > slack_age;
    auto requests = static_cast<double>(counted_requests_);
    double slack = 0;
    if (!has_restarted)
    {
        const auto left =
            std::max(order_.finish_within - age(now), duration{0});
        const auto seen = std::max<duration>(now - first_seen_, 1s);
        requests *=
            1 + std::min(expected_part * to_seconds(left) / to_seconds(seen),
                         advance_part);
        slack = used_slack * options_.limits.exposure_slack /
                static_cast<double>(std::max<std::size_t>(options_.routers, 1));
    }
    const double allowed =
        std::floor(used_exposure * options_.limits.exposure * requests + slack +
                   fraction_of(options_.seed));
    return target_requests_ + 1 <= allowed;
}

std::size_t rollout_gate::canary_width(time_point now) const
{
    if (age(now) < wide_time)
        return 0;
    const double share =
        std::min(judge_share_,
                 used_exposure * options_.limits.exposure * (1 + advance_part));
    const auto usual = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(upstreams_.of_others)));
    const auto width = std::max(usual, min_width);
    return width < upstreams_.of_target ? width : 0;
}

version_choice rollout_gate::choose(time_point now, std::uint64_t key,
                                    bool is_repeat)
{
    version_choice others{version_rule::others_only, order_.target, 0};
    version_choice target{version_rule::target_only, order_.target, 0};
    const bool has_target = upstreams_.of_target > 0;
    const bool has_others = upstreams_.of_others > 0;
    if (phase_ == directory::rollout_phase::complete)
        return has_target ? target : version_choice{};
    if (phase_ == directory::rollout_phase::reverted ||
        stage_ == rollout_stage::revert)
        return others;
    if (has_one_version())
        return {};
    if (!has_target)
        return others;
    const bool is_chosen =
        fraction_of(hash_combine(key, hash_bytes(order_.service))) < share(now);
    if (stage_ == rollout_stage::advance)
        return is_chosen || !has_others ? target : others;
    if (has_others && (is_repeat || !is_chosen))
        return others;
    if (!has_budget(now))
        return others;
    auto choice = target;
    choice.target_width = canary_width(now);
    return choice;
}

void rollout_gate::record_sent(time_point now, bool is_target)
{
    ++requests_;
    if (age(now) <= order_.finish_within)
        ++counted_requests_;
    if (is_target)
        ++target_requests_;
}

void rollout_gate::set_stage(time_point now, rollout_stage stage)
{
    // A later stage stays, whichever judge decided on it.
    if (stage <= stage_)
        return;
    stage_ = stage;
    if (stage == rollout_stage::advance)
        advance_at_ = now;
}

void rollout_gate::handle(time_point now, const rollout_response& response)
{
    learn_age(now, response.order_age_ms);
    set_stage(now, response.stage);
    if (response.stage == stage_)
        judge_share_ = response.share_steps * rollout_share_step;
    if (response.stage != rollout_stage::canary ||
        stage_ == rollout_stage::canary)
        response_at_ = now;
}

} // namespace baobabloft::dispatch
