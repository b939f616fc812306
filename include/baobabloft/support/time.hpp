// The clock type of every decision. Decisions never read a clock: the caller
// passes the present in, so that the same code runs in real or virtual time.
#pragma once

#include <chrono>

namespace baobabloft
{

using duration = std::chrono::microseconds;

/// Tells time points of events apart from those of real clocks; it cannot be
/// read.
struct event_clock;

using time_point = std::chrono::time_point<event_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Returns `value` in seconds.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Returns `seconds` as a duration, rounded to whole microseconds.
constexpr duration from_seconds(double seconds)
{
    return duration{static_cast<duration::rep>(seconds * 1e6)};
}

} // namespace baobabloft
