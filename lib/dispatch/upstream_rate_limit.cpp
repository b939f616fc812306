#include "baobabloft/dispatch/upstream_rate_limit.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::dispatch
{

namespace
{

/// Rate that all routers use if the limit is lower, so that they notice its
/// end.
constexpr double min_rate = 0.25;
/// Most requests that the chosen routers may send at once beyond the rate, as
/// a base and in seconds of the limit.
constexpr double burst_base = 1;
constexpr double burst_of_low_rate_s = 1;
constexpr double burst_of_rate_s = 1.5;
/// Limit up to which burst_of_low_rate_s applies.
constexpr double low_rate = 2;
/// Requests that one router may send at once, in seconds of its own rate.
constexpr double own_burst_s = 0.25;
/// Longest debt that requests sent before the limit was known leave.
constexpr double max_first_debt_s = 2;
/// Pauses of the routers that were not chosen: of the first one, between two of
/// them in requests at the limit, or at min_step_rate if that is higher, and
/// the longest.
constexpr duration first_patience = 4500ms;
constexpr double patience_step = 8;
constexpr double min_step_rate = 0.25;
constexpr duration max_patience = 600s;
/// Ages up to which a statement is passed on, and is reported by the router
/// that got it.
constexpr duration statement_lifetime = 5s;
constexpr duration report_lifetime = 1s;
/// Time for which the end of a limit is remembered. Longer than any statement
/// is passed on.
constexpr duration end_lifetime = 10s;
/// Limits that differ by less are not reported as changed.
constexpr double change_threshold = 0.05;
/// Tolerance of sums of floating-point numbers.
constexpr double epsilon = 1e-6;

double used_rate(double rate)
{
    return std::max(rate, min_rate);
}

/// Returns the number of routers that are chosen.
std::size_t chosen_count(double rate, std::size_t routers)
{
    const double burst = burst_base + burst_of_rate_s * rate +
                         burst_of_low_rate_s * std::min(rate, low_rate);
    return std::clamp<std::size_t>(saturating_cast<std::size_t>(burst), 1,
                                   std::max<std::size_t>(routers, 1));
}

} // namespace

rate_limit_change upstream_rate_limit::record(time_point now,
                                              const rate_limit_statement& said,
                                              std::uint32_t recently_sent)
{
    const auto former = rate();
    if (said_ ? said.as_of <= said_->as_of : !said.rate)
        return rate_limit_change::none;
    debt_ = debt(now);
    settled_at_ = now;
    said_ = said;
    if (!said.rate)
    {
        if (!former)
            return rate_limit_change::none;
        ended_at_ = now;
        return rate_limit_change::ended;
    }
    if (!former)
    {
        debt_ = std::clamp<double>(
            recently_sent, 1, std::max(1.0, max_first_debt_s * own_rate()));
        return rate_limit_change::set;
    }
    return std::abs(*said.rate - *former) > change_threshold * *former
               ? rate_limit_change::changed
               : rate_limit_change::none;
}

rate_limit_change
upstream_rate_limit::record_own(time_point now,
                                const rate_limit_statement& said,
                                std::uint32_t recently_sent)
{
    const auto result = record(now, said, recently_sent);
    if (said_ && said_->as_of == said.as_of && !is_over(now))
    {
        own_ = said;
        own_heard_at_ = now;
    }
    return result;
}

void upstream_rate_limit::record_sent(time_point now)
{
    debt_ = debt(now) + 1;
    settled_at_ = now;
    last_sent_at_ = now;
}

void upstream_rate_limit::set_place(time_point now, const router_place& place)
{
    debt_ = debt(now);
    settled_at_ = now;
    place_ = place;
    placed_at_ = now;
}

std::optional<time_point> upstream_rate_limit::placed_at() const
{
    return placed_at_;
}

std::optional<double> upstream_rate_limit::rate() const
{
    return said_ ? said_->rate : std::nullopt;
}

bool upstream_rate_limit::is_chosen() const
{
    return place_ && rate() &&
           place_->rank < chosen_count(*rate(), place_->routers);
}

double upstream_rate_limit::own_rate() const
{
    return used_rate(*rate()) / static_cast<double>(chosen_count(
                                    *rate(), place_ ? place_->routers : 1));
}

double upstream_rate_limit::burst() const
{
    return std::max(1.0, own_burst_s * own_rate());
}

double upstream_rate_limit::debt(time_point now) const
{
    if (!rate())
        return debt_;
    return std::max(0.0, debt_ - own_rate() * to_seconds(now - settled_at_));
}

duration upstream_rate_limit::patience() const
{
    const auto chosen = chosen_count(*rate(), place_->routers);
    const double step_s = patience_step / std::max(*rate(), min_step_rate);
    return std::min(
        max_patience,
        first_patience +
            from_seconds(step_s * static_cast<double>(place_->rank - chosen)));
}

bool upstream_rate_limit::permits(time_point now) const
{
    return next_permitted(now) <= now;
}

time_point upstream_rate_limit::next_permitted(time_point now) const
{
    if (!rate())
        return now;
    if (!place_)
        return now + first_patience;
    if (!is_chosen())
        return std::max(now,
                        std::max(said_->as_of, last_sent_at_) + patience());
    const double excess = debt(now) + 1 - burst();
    return excess <= epsilon ? now : now + from_seconds(excess / own_rate());
}

time_point upstream_rate_limit::next_permitted_anywhere(time_point now) const
{
    const auto own = next_permitted(now);
    return rate() ? std::min(own, now + from_seconds(1 / own_rate())) : own;
}

std::optional<rate_limit_statement>
upstream_rate_limit::statement(time_point now) const
{
    return said_ && now - said_->as_of <= statement_lifetime ? said_
                                                             : std::nullopt;
}

std::optional<rate_limit_statement>
upstream_rate_limit::own_statement(time_point now) const
{
    return own_ && now - own_heard_at_ <= report_lifetime &&
                   now - own_->as_of <= statement_lifetime
               ? own_
               : std::nullopt;
}

bool upstream_rate_limit::is_over(time_point now) const
{
    return !rate() && now - ended_at_ > end_lifetime;
}

} // namespace baobabloft::dispatch
