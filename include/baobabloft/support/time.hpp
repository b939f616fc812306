// Time types of all decision logic. Decision logic never reads a clock: the
// caller passes the current time, so that the same code runs in real or virtual
// time.
#pragma once

#include "baobabloft/support/numbers.hpp"

#include <algorithm>
#include <chrono>

namespace baobabloft
{

using duration = std::chrono::microseconds;

/// Tag that makes the project's time points a type distinct from those of real
/// clocks. It is incomplete, so that no time can be read from it.
struct event_clock;

using time_point = std::chrono::time_point<event_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Longest duration that results from a conversion. Sums and small multiples
/// of such durations, also with points in time, do not overflow.
inline constexpr duration max_duration = std::chrono::years{100};

/// Returns `value` in seconds.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Returns `seconds` as a duration, truncated to whole microseconds and limited
/// to `max_duration` in both directions.
constexpr duration from_seconds(double seconds)
{
    return std::clamp(duration{saturating_cast<duration::rep>(seconds * 1e6)},
                      -max_duration, max_duration);
}

} // namespace baobabloft
