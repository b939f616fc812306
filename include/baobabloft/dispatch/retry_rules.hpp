// What to do when an attempt of a request ends without a usable answer. Pure
// rules: whether a request may have run decides what may be said of it.
#pragma once

#include "baobabloft/directory/route_config.hpp"

namespace baobabloft::dispatch
{

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    /// No byte of the request left this router.
    not_sent,
    /// The upstream said that it did not run the request.
    declined,
    /// The connection broke or the answer was unusable after the request left.
    broken,
    /// No answer in the time that this attempt had.
    timed_out,
    /// The upstream answered with a failure of its own.
    failed
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::declined, "declined"},
    enum_name<attempt_end>{attempt_end::broken, "broken"},
    enum_name<attempt_end>{attempt_end::timed_out, "silent"},
    enum_name<attempt_end>{attempt_end::failed, "failed"},
};

/// What follows.
enum class next_step : std::uint8_t
{
    /// Send the request to another upstream; it arrives there as a repeat if
    /// the last attempt reached its upstream.
    try_other,
    /// Hand the upstream's own failure on.
    forward,
    /// Refuse: the request did not run and will not.
    refuse_not_run,
    /// Fail: the request may have run.
    fail_unknown,
    /// End an answer that has begun so that it cannot look whole.
    break_off
};

inline constexpr std::array next_step_names{
    enum_name<next_step>{next_step::try_other, "try_other"},
    enum_name<next_step>{next_step::forward, "forward"},
    enum_name<next_step>{next_step::refuse_not_run, "refuse_not_run"},
    enum_name<next_step>{next_step::fail_unknown, "fail_unknown"},
    enum_name<next_step>{next_step::break_off, "break_off"},
};

/// A request's history when an attempt ends.
struct attempt_history
{
    /// Attempts that may have run, the last one included.
    std::uint32_t runs = 0;
    /// Attempts of any kind.
    std::uint32_t attempts = 0;
    /// Part of an answer went to the caller.
    bool answer_started = false;
    /// Enough time is left for another attempt.
    bool has_time = true;
};

/// Most attempts for one request, those included that did not run.
inline constexpr std::uint32_t max_attempts = 5;

/// Returns what follows; the retry budget is the caller's to ask if the step
/// is try_other and the last attempt reached its upstream.
next_step step_after(const directory::route& route, attempt_end end,
                     const attempt_history& history);

/// Returns what follows if another attempt was due but cannot be made.
next_step step_without_retry(attempt_end end, const attempt_history& history);

} // namespace baobabloft::dispatch
