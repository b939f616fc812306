// What one attempt shows about whether its request ran at the upstream. A
// request counts as run unless the contrary is shown.
#pragma once

#include "baobabloft/dispatch/retry_rules.hpp"

namespace baobabloft::dispatch
{

/// The facts about one attempt.
struct run_evidence
{
    /// Bytes of the request that the system accepted for sending.
    std::uint64_t sent_bytes = 0;
    /// A response states that the request did not run.
    bool is_refusal = false;
    /// That response repeats the id of the request.
    bool names_request = false;
};

/// Returns false only if the request cannot have run in this attempt.
[[nodiscard]] bool may_have_run(const run_evidence& evidence);

/// Returns `end` if `evidence` supports it; otherwise not_sent if nothing was
/// sent, broken for a request that may have been sent, and failed for one that
/// may have run although a response denies it.
[[nodiscard]] attempt_end proven_end(attempt_end end,
                                     const run_evidence& evidence);

} // namespace baobabloft::dispatch
