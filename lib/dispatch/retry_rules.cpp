#include "baobabloft/dispatch/retry_rules.hpp"

namespace baobabloft::dispatch
{

next_step step_after(const directory::route& route, attempt_end end,
                     const attempt_history& history)
{
    const bool may_have_run = end == attempt_end::broken ||
                              end == attempt_end::timed_out ||
                              end == attempt_end::failed;
    const bool may_repeat = !may_have_run || (route.is_repeatable() &&
                                              history.runs < route.max_runs);
    if (!may_repeat || !history.has_time ||
        (history.response_started && !route.is_repeatable()))
        return step_without_retry(end, history);
    if (history.attempts < max_attempts)
        return next_step::try_other;
    return history.response_started ? next_step::try_later
                                    : step_without_retry(end, history);
}

next_step step_without_retry(attempt_end end, const attempt_history& history)
{
    if (history.response_started)
        return next_step::break_off;
    if (end == attempt_end::failed)
        return next_step::forward;
    return history.runs == 0 ? next_step::refuse_not_run
                             : next_step::fail_unknown;
}

} // namespace baobabloft::dispatch
