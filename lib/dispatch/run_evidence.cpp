#include "baobabloft/dispatch/run_evidence.hpp"

namespace baobabloft::dispatch
{

bool may_have_run(const run_evidence& evidence)
{
    const bool was_refused = evidence.is_refusal && evidence.names_request;
    return evidence.sent_bytes > 0 && !was_refused;
}

attempt_end proven_end(attempt_end end, const run_evidence& evidence)
{
    if (evidence.sent_bytes == 0)
        return attempt_end::not_sent;
    if (!may_have_run(evidence))
        return end;
    switch (end)
    {
    case attempt_end::not_sent:
        return attempt_end::broken;
    case attempt_end::declined:
        // The connection is sound, which a crash would not leave it.
        return attempt_end::failed;
    default:
        return end;
    }
}

} // namespace baobabloft::dispatch
