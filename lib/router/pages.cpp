#include "baobabloft/router/pages.hpp"

#include "baobabloft/router/refusal.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace baobabloft::router
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view plain_text_type = "text/plain; charset=utf-8";
constexpr std::array<std::string_view, 6> page_paths{
    "/healthz", "/readyz", "/metrics", "/status", "/burn", "/control/preset"};

std::string_view path_of(const http::request& message)
{
    const auto target = http::std_view(message.target());
    return target.substr(0, target.find('?'));
}

void respond(const worker_context& context, http::caller_channel& caller,
             unsigned status, std::string_view type, std::string body)
{
    http::response response;
    response.result(status);
    response.set("Content-Type", http::beast_view(type));
    response.body() = std::move(body);
    caller.respond(net::boot_now(), std::move(response), !context.is_leaving());
}

void respond_not_allowed(worker_context& context, http::caller_channel& caller)
{
    constexpr auto kind = refusal_kind::not_allowed;
    context.counters.record_refusal(kind);
    respond(context, caller, refusal_row_of(kind).status,
            "application/problem+json", problem_json(kind, executed::no, ""));
}

bool has_operator_access(const worker_context& context,
                         const http::request& message)
{
    const auto& token = context.options.operator_token;
    if (token.empty())
        return true;
    const auto authorization = http::field_value(message, "Authorization");
    const auto expected = "Bearer " + token;
    return authorization.size() == expected.size() &&
           sodium_memcmp(authorization.data(), expected.data(),
                         expected.size()) == 0;
}

void respond_readiness(const worker_context& context,
                       http::caller_channel& caller)
{
    const auto readiness = context.state.readiness;
    const bool is_ready = readiness == fleet::readiness::ready;
    respond(context, caller, is_ready ? status_ok : status_unavailable,
            plain_text_type,
            std::string{name_in(fleet::readiness_names, readiness)} + "\n");
}

/// Responds with a page that the control task renders.
void respond_with_page(worker_context& context,
                       const http::caller_table::caller_ptr& caller,
                       control_task::page kind)
{
    const std::weak_ptr<http::caller_channel> weak_caller = caller;
    context.control.render_page(context.loop, kind,
                                [&context, weak_caller](const std::string& text)
                                {
                                    if (const auto channel = weak_caller.lock())
                                        respond(context, *channel, status_ok,
                                                "application/json", text);
                                });
}

} // namespace

bool is_page_request(const http::request& message)
{
    return std::find(page_paths.begin(), page_paths.end(), path_of(message)) !=
           page_paths.end();
}

void serve_page(worker_context& context,
                const http::caller_table::caller_ptr& caller,
                const http::request& message)
{
    const auto path = path_of(message);
    if (path == "/healthz")
    {
        respond(context, *caller, status_ok, plain_text_type, "ok\n");
        return;
    }
    if (path == "/readyz")
    {
        respond_readiness(context, *caller);
        return;
    }
    if (path == "/control/preset")
    {
        const auto mac = http::field_value(message, "X-Fleet-Mac");
        if (context.control.verify_peer("GET /control/preset", mac))
            respond_with_page(context, caller,
                              control_task::page::preset_envelope);
        else
            respond_not_allowed(context, *caller);
        return;
    }
    if (!has_operator_access(context, message))
        respond_not_allowed(context, *caller);
    else if (path == "/metrics")
        respond(context, *caller, status_ok, "text/plain; version=0.0.4",
                context.counters.text());
    else
        respond_with_page(context, caller,
                          path == "/burn" ? control_task::page::burn
                                          : control_task::page::status);
}

} // namespace baobabloft::router
