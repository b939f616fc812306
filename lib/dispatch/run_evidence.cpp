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
    const bool says_not_run =
        end == attempt_end::not_sent || end == attempt_end::declined;
    return says_not_run && may_have_run(evidence) ? attempt_end::broken : end;
}

} // namespace baobabloft::dispatch
