// Whether a refused call has run, as far as the router knows.
#pragma once

#include "baobabloft/ledger/claim_client.hpp"
#include "baobabloft/router/refusal.hpp"

namespace baobabloft::router
{

/// What the ledger has shown about a request's idempotency key.
enum class key_evidence
{
    /// The ledger was not asked, or has not responded.
    none,
    /// Another attempt holds the key, or has finished.
    used,
    /// This request holds the key, so no earlier attempt ran.
    claimed
};

/// What a router knows about the execution of a request that it refuses.
struct execution_knowledge
{
    /// True if the request carries a well-formed idempotency key, whether or
    /// not the preset in force requires one.
    bool has_key = false;
    /// True if the caller states that it has not sent the key before.
    bool first_attempt = false;
    key_evidence evidence = key_evidence::none;
    /// True if a byte of this request may have reached an upstream.
    bool sent = false;
};

/// Returns what a decision of the ledger shows.
constexpr key_evidence evidence_of(ledger::claim_result result)
{
    switch (result)
    {
    case ledger::claim_result::accepted:
        return key_evidence::claimed;
    case ledger::claim_result::answered:
    case ledger::claim_result::in_progress:
        return key_evidence::used;
    case ledger::claim_result::below_low_water_mark:
    case ledger::claim_result::key_from_future:
    case ledger::claim_result::unconfirmed:
        break;
    }
    return key_evidence::none;
}

/// Returns whether the call of a refused request has run, by this request or an
/// earlier one with its key.
constexpr executed execution_status(const execution_knowledge& known)
{
    if (known.sent || known.evidence == key_evidence::used)
        return executed::unknown;
    const bool is_unused = !known.has_key || known.first_attempt ||
                           known.evidence == key_evidence::claimed;
    return is_unused ? executed::no : executed::unknown;
}

} // namespace baobabloft::router
