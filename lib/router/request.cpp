#include "baobabloft/router/request.hpp"

#include "baobabloft/support/hash.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace baobabloft::router
{

namespace
{

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view service_prefix = "/services/";
constexpr const char* key_header = "Idempotency-Key";
constexpr std::string_view unnamed_customer = "unnamed";
/// RFC 9218 urgencies from this value on are deferrable.
constexpr int first_deferrable_urgency = 6;

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || last != end)
        return std::nullopt;
    return value;
}

/// Parses the urgency "u=N" of a Priority header.
routing::urgency parse_priority(std::string_view header)
{
    const auto position = header.find("u=");
    if (position == std::string_view::npos || position + 2 >= header.size())
        return routing::urgency::interactive;
    const int urgency = header[position + 2] - '0';
    return urgency >= first_deferrable_urgency && urgency <= 9
               ? routing::urgency::deferrable
               : routing::urgency::interactive;
}

/// Returns true for the idempotent methods of RFC 9110.
bool is_idempotent_method(std::string_view method)
{
    constexpr std::array<std::string_view, 6> methods{
        "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// Returns the path in the form that presets use: without query,
/// percent-decoded, without repeated or trailing slashes. Otherwise an
/// equivalent spelling of a non-repeatable route would be taken for another
/// route and be sent without a key.
std::string normalize_path(std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    gchar* decoded =
        g_uri_unescape_segment(path.data(), path.data() + path.size(), nullptr);
    const std::string text{decoded != nullptr ? decoded : ""};
    g_free(decoded);
    std::string result;
    for (const char character : text)
        if (character != '/' || result.empty() || result.back() != '/')
            result += character;
    if (result.size() > 1 && result.back() == '/')
        result.pop_back();
    return result;
}

void fill_common_fields(const raw_request& request,
                        const config::service& service,
                        const config::preset& preset, duration max_timeout,
                        std::uint64_t unique_id, routed_request& result)
{
    result.service = service.name;
    result.is_model = service.kind == config::service_kind::model;
    result.objectives = service.objectives;
    result.checks_fencing = service.checks_fencing;
    result.max_attempts = preset.retries.max_attempts;
    result.customer = request.header("X-Customer");
    if (result.customer.empty())
        result.customer = unnamed_customer;
    const auto chat = request.header("X-Chat-Id");
    result.chat = chat.empty() ? chat_id{hash_combine(unique_id, 0)}
                               : make_chat_id(result.customer, chat);
    result.priority = parse_priority(request.header("Priority"));
    result.body_hash = fingerprint{hash_bytes(request.body)};
    result.timeout = preset.default_timeout;
    if (const auto ms = parse_integer(request.header("X-Timeout-Ms")))
        result.timeout = std::chrono::milliseconds{
            std::clamp<std::int64_t>(*ms, 1, max_timeout / 1ms)};
}

std::optional<routed_request> classify_chat(const raw_request& request,
                                            const config::preset& preset,
                                            duration max_timeout,
                                            std::uint64_t unique_id,
                                            refusal_kind& reason)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object() ||
        !body.contains("model") || !body["model"].is_string())
    {
        reason = refusal_kind::bad_request;
        return std::nullopt;
    }
    const auto model = body["model"].get<std::string>();
    const auto* service = preset.find_service_by_model(model);
    if (service == nullptr)
    {
        reason = refusal_kind::unknown_model;
        return std::nullopt;
    }
    routed_request result;
    result.path = chat_path;
    const auto stream = body.find("stream");
    result.streamed =
        stream != body.end() && stream->is_boolean() && stream->get<bool>();
    fill_common_fields(request, *service, preset, max_timeout, unique_id,
                       result);
    return result;
}

std::optional<routed_request>
classify_service_call(const raw_request& request, const config::preset& preset,
                      duration max_timeout, std::uint64_t unique_id,
                      refusal_kind& reason)
{
    const std::string_view below_prefix =
        std::string_view{request.path}.substr(service_prefix.size());
    const auto slash = std::min(below_prefix.find('/'), below_prefix.size());
    const auto* service = preset.find_service(below_prefix.substr(0, slash));
    if (service == nullptr || service->kind != config::service_kind::plain)
    {
        reason = refusal_kind::unknown_service;
        return std::nullopt;
    }
    routed_request result;
    result.path = slash == below_prefix.size()
                      ? "/"
                      : std::string{below_prefix.substr(slash)};
    fill_common_fields(request, *service, preset, max_timeout, unique_id,
                       result);
    result.repeatable = is_idempotent_method(request.method);
    if (!config::is_non_repeatable(*service, request.method,
                                   normalize_path(result.path)))
        return result;
    result.repeatable = false;
    if (request.header(key_header).empty())
    {
        reason = refusal_kind::key_required;
        return std::nullopt;
    }
    result.idempotency_key = find_idempotency_key(request);
    if (!result.idempotency_key)
    {
        reason = refusal_kind::key_invalid;
        return std::nullopt;
    }
    result.first_attempt = is_first_attempt(request);
    return result;
}

} // namespace

std::optional<ledger::idempotency_key>
find_idempotency_key(const raw_request& request)
{
    const auto key = request.header(key_header);
    // The header may be written as a quoted string.
    const bool quoted = key.size() > 2 && key.front() == '"';
    return ledger::parse_idempotency_key(
        quoted ? std::string_view{key}.substr(1, key.size() - 2) : key);
}

bool is_first_attempt(const raw_request& request)
{
    return request.header("X-Attempt") == "1";
}

std::optional<routed_request>
classify(const raw_request& request, const config::preset& preset,
         duration max_timeout, std::uint64_t unique_id, refusal_kind& reason)
{
    if (request.path == chat_path)
        return classify_chat(request, preset, max_timeout, unique_id, reason);
    if (request.path.starts_with(service_prefix))
        return classify_service_call(request, preset, max_timeout, unique_id,
                                     reason);
    reason = refusal_kind::unknown_path;
    return std::nullopt;
}

} // namespace baobabloft::router
