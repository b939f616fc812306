// Reads from a caller's request what routing needs to know.
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

/// A caller's request as it arrived.
struct raw_request
{
    std::string method;
    /// Path with query, undecoded.
    std::string path;
    std::string body;
    /// Returns a header's value, or an empty text.
    std::function<std::string(const char*)> header;
};

/// A request that can be routed.
struct routed_request
{
    std::string service;
    /// Path at the upstream.
    std::string path;
    std::string customer;
    chat_id chat{};
    routing::urgency priority = routing::urgency::interactive;
    duration timeout{};
    /// The caller wants server-sent events.
    bool streamed = false;
    /// Set for calls that may not be repeated.
    std::optional<ledger::idempotency_key> idempotency_key;
    /// The caller says that it has not sent this key before.
    bool first_attempt = false;
    bool is_model = false;
    /// The request may be sent again after an upstream failed.
    bool repeatable = true;
    fingerprint body_hash{};
    config::service_level_objectives goals;
    bool checks_fencing = false;
    std::uint32_t max_attempts = 1;
};

/// Classifies `request` under `preset`. On a mistake returns nothing and sets
/// `reason`. `unique` distinguishes requests without a chat.
std::optional<routed_request>
classify(const raw_request& request, const config::preset& preset,
         duration max_timeout, std::uint64_t unique_id, refusal_kind& reason);

} // namespace baobabloft::router
