// Refusals: one table of all reasons for which the router rejects a request,
// each with its status, remedy and Retry-After time.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <string>
#include <string_view>

namespace baobabloft::router
{

/// Why a request is refused.
enum class refusal_kind
{
    bad_request,
    unknown_path,
    unknown_model,
    unknown_service,
    unknown_key,
    body_too_large,
    key_required,
    key_invalid,
    key_from_future,
    not_ready,
    isolated,
    leaving,
    no_upstream,
    overloaded,
    deadline_passed,
    quarantined,
    retries_spent,
    upstream_failed,
    upstream_timed_out,
    key_in_progress,
    key_too_old,
    ledger_unavailable,
    not_allowed
};

inline constexpr std::size_t refusal_kind_count =
    static_cast<std::size_t>(refusal_kind::not_allowed) + 1;

/// Whether an upstream executed the call of this request, or an earlier call
/// with the same idempotency key.
enum class executed
{
    /// Certainly not executed, neither by this request nor by an earlier one.
    no,
    unknown
};

inline constexpr std::array executed_names{
    enum_name<executed>{executed::no, "no"},
    enum_name<executed>{executed::unknown, "unknown"},
};

/// Table row of one kind of refusal.
struct refusal_row
{
    refusal_kind kind;
    std::string_view name;
    unsigned status;
    std::string_view title;
    std::string_view remedy;
    /// Seconds after which the caller may retry; 0 if a retry cannot succeed.
    unsigned retry_after_s;
};

/// Returns the table row of `kind`.
const refusal_row& refusal_row_of(refusal_kind kind);

/// Returns the RFC 9457 problem body for a refusal.
std::string problem_json(refusal_kind kind, executed execution,
                         std::string_view request_id);

} // namespace baobabloft::router
