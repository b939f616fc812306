// Decides what to do when an attempt of a request ends without a usable
// response. The rules hold no state. Whether the request may have run
// determines what the router may report about it.
#pragma once

#include "baobabloft/directory/route_config.hpp"

namespace baobabloft::dispatch
{

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    /// No byte of the request was sent.
    not_sent,
    /// The upstream reported that it did not run the request.
    declined,
    /// The connection broke, or the response was unusable, after the request
    /// was sent.
    broken,
    /// No response within the time limit of this attempt.
    timed_out,
    /// The upstream responded with an error of its own.
    failed
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::declined, "declined"},
    enum_name<attempt_end>{attempt_end::broken, "broken"},
    enum_name<attempt_end>{attempt_end::timed_out, "silent"},
    enum_name<attempt_end>{attempt_end::failed, "failed"},
};

/// What the router does after an attempt has ended.
enum class next_step : std::uint8_t
{
    /// Send the request to another upstream. This is a repeat arrival if the
    /// last attempt reached its upstream.
    try_other,
    /// Send the request to another upstream after a pause, since a response
    /// has begun that would have to be aborted otherwise.
    try_later,
    /// Forward the upstream's error to the caller.
    forward,
    /// Refuse the request: it did not run and will not.
    refuse_not_run,
    /// Report a failure: the request may have run.
    fail_unknown,
    /// Abort a response that has begun, so that the caller cannot take it for a
    /// complete one.
    break_off
};

inline constexpr std::array next_step_names{
    enum_name<next_step>{next_step::try_other, "try_other"},
    enum_name<next_step>{next_step::try_later, "try_later"},
    enum_name<next_step>{next_step::forward, "forward"},
    enum_name<next_step>{next_step::refuse_not_run, "refuse_not_run"},
    enum_name<next_step>{next_step::fail_unknown, "fail_unknown"},
    enum_name<next_step>{next_step::break_off, "break_off"},
};

/// What has happened to a request by the time an attempt ends.
struct attempt_history
{
    /// Attempts that may have run the request, including the last one.
    std::uint32_t runs = 0;
    /// All attempts.
    std::uint32_t attempts = 0;
    /// Part of a response was sent to the caller.
    bool response_started = false;
    /// Enough time is left before the deadline for another attempt.
    bool has_time = true;
};

/// Limit on the attempts of one request without a pause, including those that
/// did not run it.
inline constexpr std::uint32_t max_attempts = 5;

/// Returns the step after an attempt ended as `end`. If it is try_other and the
/// last attempt reached its upstream, the caller of this function must check
/// the retry budget.
next_step step_after(const directory::route& route, attempt_end end,
                     const attempt_history& history);

/// Returns the step to take instead if no further attempt can be made.
next_step step_without_retry(attempt_end end, const attempt_history& history);

} // namespace baobabloft::dispatch
