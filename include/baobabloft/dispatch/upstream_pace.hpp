// Estimates how much longer than usual an upstream takes for its work, from
// figures that it reports with its responses. The figures change quickly and
// are old when they are read.
#pragma once

#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <optional>

namespace baobabloft::dispatch
{

/// How long differences from the usual pace go on, learnt from the figures of
/// all upstreams: where they are brief, old figures say little.
class pace_persistence
{
public:
    /// Records two successive figures of one upstream, as differences from the
    /// usual pace, and the time between them.
    void record(duration gap, double earlier, double later);

    /// Returns the share of a difference, 0 to 1, that is expected to be left
    /// after `age`.
    [[nodiscard]] double share_after(duration age) const;

private:
    /// Sums over recent pairs, where larger differences count for more: of the
    /// products, of the squares, and of the gaps in seconds.
    double products_ = 0;
    double squares_ = 0.5;
    double gaps_s_ = 0.15;
};

/// The pace of one upstream, as a factor on the usual time of its work: 1 is as
/// usual, 2 takes twice as long. A single figure changes nothing, since it may
/// be wrong.
class upstream_pace
{
public:
    /// Records a figure measured at `at`, and what it shows of `persistence`;
    /// ignored unless it is clearly newer than the last one.
    void record(time_point at, double factor, pace_persistence& persistence);

    /// Returns the factor expected at `now`, for a choice made now. Tends to 1
    /// as the last figure ages.
    [[nodiscard]] double expected(time_point now,
                                  const pace_persistence& persistence) const;

    /// Returns the factor that has lasted long enough to move shares of the
    /// load; 1 if none has.
    [[nodiscard]] double lasting(time_point now) const;

private:
    struct figure
    {
        time_point at;
        double factor = 1;
    };

    /// Adds a figure to the period, or begins a new one at the second figure
    /// that disagrees with it.
    void add_to_period(const figure& item);

    /// The last figure, and the factor that it and the one before confirm.
    std::optional<figure> last_;
    double confirmed_ = 1;
    /// Period of figures that agree, apart from single ones: its mean factor,
    /// its first and last figure and their number.
    double period_factor_ = 1;
    time_point period_begin_;
    time_point period_end_;
    std::uint32_t period_figures_ = 0;
    /// Last figure, if it disagrees with the period.
    std::optional<figure> outlier_;
};

/// The work that a request brings to an upstream that it may be sent to.
struct pace_option
{
    /// upstream_pace::expected() of the upstream.
    double pace = 1;
    /// Tokens of the prompt prefix that must be processed there, 0 if it is
    /// cached.
    std::uint32_t uncached_tokens = 0;
};

/// Returns true if `other` is likely to be done with a request clearly sooner
/// than `first`.
bool is_faster(const pace_option& other, const pace_option& first);

} // namespace baobabloft::dispatch
