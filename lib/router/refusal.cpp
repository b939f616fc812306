#include "baobabloft/router/refusal.hpp"

#include <nlohmann/json.hpp>

#include <cassert>

namespace baobabloft::router
{

namespace
{

constexpr std::array<refusal_row, refusal_kind_count> rows{{
    {refusal_kind::bad_request, "bad_request", 400, "Malformed request",
     "correct the request body or headers", 0},
    {refusal_kind::unknown_path, "unknown_path", 404, "No such path",
     "use /v1/chat/completions or /services/NAME/...", 0},
    {refusal_kind::unknown_model, "unknown_model", 404,
     "No service answers this model",
     "name a model that the preset in force lists", 0},
    {refusal_kind::unknown_service, "unknown_service", 404, "No such service",
     "name a service that the preset in force lists", 0},
    {refusal_kind::unknown_key, "unknown_key", 401,
     "No customer holds this key", "send a key that is in force", 0},
    {refusal_kind::body_too_large, "body_too_large", 413,
     "Request body too large", "send a smaller body", 0},
    {refusal_kind::key_required, "key_required", 400,
     "This call may not be repeated and needs a key",
     "send Idempotency-Key with a new UUIDv7", 0},
    {refusal_kind::key_invalid, "key_invalid", 400,
     "Idempotency-Key is not a UUIDv7", "send a UUID of version 7 (RFC 9562)",
     0},
    {refusal_kind::key_from_future, "key_from_future", 400,
     "Idempotency-Key was created in the future",
     "correct the clock of the machine that makes keys", 0},
    {refusal_kind::not_ready, "not_ready", 503, "This router has no preset yet",
     "send the request again", 1},
    {refusal_kind::isolated, "isolated", 503,
     "This router is cut off from the fleet", "send the request again", 1},
    {refusal_kind::leaving, "leaving", 503, "This router is shutting down",
     "send the request again on a new connection", 1},
    {refusal_kind::no_upstream, "no_upstream", 503,
     "No upstream of the service is available", "send the request again", 2},
    {refusal_kind::overloaded, "overloaded", 429,
     "Too many requests of this customer wait already",
     "send fewer requests at once", 2},
    {refusal_kind::deadline_passed, "deadline_passed", 504,
     "No upstream had room before the deadline",
     "allow more time with X-Timeout-Ms, or send the request again", 2},
    {refusal_kind::quarantined, "quarantined", 422,
     "This request crashed upstreams before",
     "change the request; one like it is tried again from time to time", 0},
    {refusal_kind::retries_spent, "retries_spent", 502,
     "Upstreams failed and the customer's retry budget is used up",
     "send the request again later", 5},
    {refusal_kind::upstream_failed, "upstream_failed", 502,
     "The upstream broke off", "ask for the state of the call by its key", 1},
    {refusal_kind::upstream_timed_out, "upstream_silent", 504,
     "The upstream did not answer in time",
     "ask for the state of the call by its key", 1},
    {refusal_kind::key_in_progress, "key_in_progress", 409,
     "Another attempt with this key has not finished",
     "send the same request with the same key again", 1},
    {refusal_kind::key_too_old, "key_too_old", 409,
     "The key is older than the ledger remembers",
     "look up at the service whether the call ran", 0},
    {refusal_kind::ledger_unavailable, "ledger_unavailable", 503,
     "The call could not be recorded before the deadline and was not sent",
     "send the same request with the same key again", 2},
    {refusal_kind::not_allowed, "not_allowed", 403, "Not allowed",
     "send the operator token or the fleet's MAC", 0},
}};

} // namespace

const refusal_row& refusal_row_of(refusal_kind kind)
{
    const auto& row = rows.at(static_cast<std::size_t>(kind));
    assert(row.kind == kind && "rows must be in the order of refusal_kind");
    return row;
}

std::string problem_json(refusal_kind kind, executed execution,
                         std::string_view request_id)
{
    const auto& row = refusal_row_of(kind);
    // Callers choose the id, which need not be UTF-8.
    return nlohmann::json{{"type", "about:blank"},
                          {"title", row.title},
                          {"status", row.status},
                          {"kind", row.name},
                          {"executed", name_in(executed_names, execution)},
                          {"remedy", row.remedy},
                          {"request_id", request_id}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace baobabloft::router
