// Classifies callers' requests: extracts the properties that routing needs.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/ledger/idempotency_key.hpp"
#include "baobabloft/router/refusal.hpp"
#include "baobabloft/routing/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// A caller's request as received.
struct raw_request
{
    std::string method;
    /// Path and query, not percent-decoded.
    std::string path;
    std::string body;
    /// Returns the value of a header, or an empty string if it is missing.
    std::function<std::string(const char*)> header;
};

/// A classified request, ready to be routed.
struct routed_request
{
    std::string service;
    /// Path and query to send to the upstream.
    std::string path;
    std::string customer;
    chat_id chat{};
    routing::urgency priority = routing::urgency::interactive;
    /// Time from arrival to the deadline.
    duration timeout{};
    /// True if the caller requests the response as server-sent events.
    bool streamed = false;
    /// Set if the call is non-repeatable: it must be executed at most once.
    std::optional<ledger::idempotency_key> idempotency_key;
    /// True if the caller states that it has not sent this key before.
    bool first_attempt = false;
    bool is_model = false;
    /// True if the request may be sent again after it reached an upstream that
    /// failed.
    bool repeatable = true;
    fingerprint body_hash{};
    config::service_level_objectives objectives;
    /// True if the service's upstreams check the fencing number.
    bool checks_fencing = false;
    /// Bound on attempts, the first included.
    std::uint32_t max_attempts = 1;
};

/// Returns the idempotency key of `request`, or nothing if it has none or a
/// malformed one.
std::optional<ledger::idempotency_key>
find_idempotency_key(const raw_request& request);

/// Returns true if the caller states that it has not sent the request's
/// idempotency key before.
bool is_first_attempt(const raw_request& request);

/// Classifies `request` according to `preset`. Returns nothing and sets
/// `reason` if the request is invalid. `unique_id` replaces the chat's identity
/// for requests without a chat.
std::optional<routed_request>
classify(const raw_request& request, const config::preset& preset,
         duration max_timeout, std::uint64_t unique_id, refusal_kind& reason);

} // namespace baobabloft::router
