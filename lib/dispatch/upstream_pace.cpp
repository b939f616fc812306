#include "baobabloft/dispatch/upstream_pace.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::dispatch
{

namespace
{

/// Factors beyond these limits are not plausible.
constexpr double min_factor = 0.25;
constexpr double max_factor = 16;
/// Figures of a period agree if their ratio is at most this.
constexpr double agreement_ratio = 1.4;
/// Weight of a figure in the factor of its period.
constexpr double figure_weight = 0.3;
/// Routers pass a figure on with a rounded time, and more than once; figures
/// closer to each other than this count as one.
constexpr duration min_gap = 50ms;
/// Figures further apart show nothing of how long differences go on.
constexpr duration max_gap = 3s;
/// A difference counts as at most this, so that extreme ones do not decide
/// alone what is known of persistence.
constexpr double max_difference = 3;
/// Share of the sums that is kept when a pair is added.
constexpr double kept_share = 0.999;
constexpr double min_correlation = 0.001;
constexpr double max_correlation = 0.98;
/// Length and number of figures from which a period moves shares: prefixes that
/// move are processed again, which must pay off.
constexpr duration lasting_length = 4s;
constexpr std::uint32_t min_lasting_figures = 4;
/// Work of a request besides its prompt prefix, in tokens.
constexpr double request_tokens = 1000;
/// The other upstream must save this share of the work.
constexpr double min_saved_share = 0.2;

bool agree(double left, double right)
{
    return std::max(left, right) <= agreement_ratio * std::min(left, right);
}

double work_of(const pace_option& option)
{
    return option.pace * (request_tokens + option.uncached_tokens);
}

} // namespace

void pace_persistence::record(duration gap, double earlier, double later)
{
    if (gap > max_gap)
        return;
    earlier = std::min(earlier, max_difference);
    later = std::min(later, max_difference);
    const double weight = earlier * earlier;
    products_ = products_ * kept_share + earlier * later;
    squares_ = squares_ * kept_share + weight;
    gaps_s_ = gaps_s_ * kept_share + weight * to_seconds(gap);
}

double pace_persistence::share_after(duration age) const
{
    const double correlation =
        std::clamp(products_ / squares_, min_correlation, max_correlation);
    const double mean_gap_s = gaps_s_ / squares_;
    return std::pow(correlation, std::max(0.0, to_seconds(age)) / mean_gap_s);
}

void upstream_pace::record(time_point at, double factor,
                           pace_persistence& persistence)
{
    if (!std::isfinite(factor) || (last_ && at < last_->at + min_gap))
        return;
    const figure item{at, std::clamp(factor, min_factor, max_factor)};
    const double difference = item.factor - 1;
    const double earlier = last_ ? last_->factor - 1 : 0;
    if (last_)
        persistence.record(at - last_->at, earlier, difference);
    // What both figures say: nothing if one is slow and the other fast.
    confirmed_ = difference * earlier <= 0
                     ? 1
                     : 1 + std::copysign(std::min(std::abs(difference),
                                                  std::abs(earlier)),
                                         difference);
    last_ = item;
    add_to_period(item);
}

void upstream_pace::add_to_period(const figure& item)
{
    if (period_figures_ > 0 && agree(item.factor, period_factor_))
    {
        period_factor_ += figure_weight * (item.factor - period_factor_);
        period_end_ = item.at;
        // Figures that disagree every other time are no lasting difference.
        period_figures_ += outlier_ ? 0 : 1;
        outlier_.reset();
        return;
    }
    const bool begins_period =
        period_figures_ == 0 ||
        (outlier_ && agree(item.factor, outlier_->factor));
    if (!begins_period)
    {
        outlier_ = item;
        return;
    }
    period_begin_ = outlier_.value_or(item).at;
    period_end_ = item.at;
    period_factor_ = item.factor;
    period_figures_ = outlier_ ? 2 : 1;
    outlier_.reset();
}

double upstream_pace::expected(time_point now,
                               const pace_persistence& persistence) const
{
    return last_
               ? 1 + (confirmed_ - 1) * persistence.share_after(now - last_->at)
               : 1;
}

double upstream_pace::lasting(time_point now) const
{
    const auto length = period_end_ - period_begin_;
    const bool is_lasting = period_figures_ >= min_lasting_figures &&
                            length >= lasting_length &&
                            now - period_end_ <= length / 2;
    return is_lasting ? period_factor_ : 1;
}

bool is_faster(const pace_option& other, const pace_option& first)
{
    return work_of(other) < (1 - min_saved_share) * work_of(first);
}

} // namespace baobabloft::dispatch
