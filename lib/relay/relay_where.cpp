// The page that says where a request would go, for operators. Changes no state.
#include "request_target.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/refusal.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

namespace baobabloft::relay
{

namespace
{

using nlohmann::json;
using router::refusal_kind;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;

/// Parameters of a query string, percent-decoded.
using parameters = std::map<std::string, std::string, std::less<>>;

std::optional<parameters> read_query(std::string_view target)
{
    const auto start = target.find('?');
    if (start == std::string_view::npos)
        return parameters{};
    const auto query = target.substr(start + 1);
    const std::unique_ptr<GHashTable, decltype(&g_hash_table_unref)> table{
        g_uri_parse_params(query.data(), static_cast<gssize>(query.size()), "&",
                           G_URI_PARAMS_NONE, nullptr),
        g_hash_table_unref};
    if (!table)
        return std::nullopt;
    parameters result;
    GHashTableIter iterator;
    g_hash_table_iter_init(&iterator, table.get());
    gpointer name = nullptr;
    gpointer value = nullptr;
    while (g_hash_table_iter_next(&iterator, &name, &value) != FALSE)
        result.emplace(static_cast<const char*>(name),
                       static_cast<const char*>(value));
    return result;
}

where_answer error_answer(unsigned status, std::string_view error,
                          const std::string& message, std::string_view remedy)
{
    return {status,
            json{{"error", error}, {"message", message}, {"remedy", remedy}}
                .dump()};
}

json refusal_json(refusal_kind kind, std::string_view reason)
{
    return {{"kind", router::refusal_row_of(kind).name}, {"why", reason}};
}

std::int64_t in_ms(duration value)
{
    return value / 1ms;
}

json candidate_json(const dispatch::candidate_report& item,
                    std::uint32_t prefix_tokens)
{
    return {
        {"upstream", item.upstream},
        {"data_centre", item.data_centre},
        {"state", item.state},
        {"load", item.load},
        {"load_age_ms", item.load_age ? json(in_ms(*item.load_age)) : json()},
        {"cold_left_ms", in_ms(item.cold_left)},
        {"pause_left_ms", in_ms(item.pause_left)},
        {"rate_limit", item.rate_limit ? json(*item.rate_limit) : json()},
        {"failures", item.consecutive_failures},
        {"failure_rate", item.failure_rate},
        {"cached_tokens", item.has_prefix ? prefix_tokens : 0}};
}

json service_json(const dispatch::choice_report& report,
                  const directory::weighted_service& item,
                  std::uint64_t total_weight, std::uint32_t prefix_tokens)
{
    json candidates = json::array();
    for (const auto& candidate : report.candidates)
        candidates.push_back(candidate_json(candidate, prefix_tokens));
    return {
        {"service", item.service},
        {"share",
         static_cast<double>(item.weight) / static_cast<double>(total_weight)},
        {"upstream", report.upstream},
        {"choice", report.reason},
        {"prefix_source", report.prefix_source},
        {"load_limit", report.load_limit ? json(*report.load_limit) : json()},
        {"mean_load", report.mean_load},
        {"candidates", candidates}};
}

/// Returns the refusal that awaits every request of the route, or null.
json common_refusal(relay_context& context, time_point now,
                    const request_target& target)
{
    const auto use = context.permitted_config_use(now);
    if (use == dispatch::permitted_use::superseded)
        return refusal_json(refusal_kind::isolated,
                            "a newer configuration is in force");
    if (use == dispatch::permitted_use::none)
        return refusal_json(refusal_kind::not_ready,
                            "the configuration is too old");
    if (context.is_shutting_down())
        return refusal_json(refusal_kind::leaving,
                            "the router is shutting down");
    if (!target.features.empty() &&
        context.protection.check(now, target.features) ==
            routing::admission::refused)
        return refusal_json(refusal_kind::quarantined,
                            "a part of the prompt crashes upstreams");
    return nullptr;
}

/// Returns the refusal of a request for which no upstream is chosen.
json refusal_of(const dispatch::choice_report& report)
{
    if (!report.upstream.empty())
        return nullptr;
    const bool is_busy = report.reason == name_in(dispatch::choice_names,
                                                  dispatch::choice::all_busy);
    return refusal_json(is_busy ? refusal_kind::overloaded
                                : refusal_kind::no_upstream,
                        report.reason);
}

} // namespace

where_answer relay::where(std::string_view query)
{
    const auto now = net::boot_now();
    const auto& config = context_.follower.state().config();
    const auto values = read_query(query);
    if (!values || !values->contains("route"))
        return error_answer(status_bad_request, "bad_query",
                            "the query names no route",
                            "use /where?route=NAME&customer=NAME&prompt=PARTS");
    const auto value_of = [&](std::string_view name)
    {
        const auto found = values->find(name);
        return found == values->end() ? std::string{} : found->second;
    };
    if (!config)
        return error_answer(status_not_found, "not_ready",
                            "this router has no configuration yet",
                            "ask another router, or ask again");
    const auto route_name = value_of("route");
    const auto route =
        std::ranges::find(config->routes, route_name, &directory::route::name);
    if (route == config->routes.end())
        return error_answer(status_not_found, "unknown_route",
                            "no route has the name " + route_name,
                            "use the name of a route of the configuration in "
                            "force");
    const auto customer = value_of("customer");
    if (!customer.empty() &&
        std::ranges::find(config->customers, customer,
                          &directory::routed_customer::name) ==
            config->customers.end())
        return error_answer(status_not_found, "unknown_customer",
                            "no customer has the name " + customer,
                            "use the name of a customer of the configuration "
                            "in force");
    const auto prompt = value_of("prompt");
    const auto target = target_of(*route, context_.dialect, prompt);
    if (!prompt.empty() && route->has_affinity && !target.affinity)
        return error_answer(status_bad_request, "bad_prompt",
                            "the prompt parts cannot be read",
                            "send them in the form of the request header");
    json services = json::array();
    json refusal = common_refusal(context_, now, target);
    const auto total = total_weight(*route);
    for (const auto& item : route->services)
    {
        const auto found = config->services.find(item.service);
        if (item.weight == 0 || found == config->services.end() ||
            (target.affinity &&
             &item != service_at(*route, affinity_offset(*route, target))))
            continue;
        const auto report = context_.selector.explain(
            now, {.service = &found->second,
                  .affinity = target.affinity,
                  .prefix_tokens = target.shared_prefix_tokens,
                  .excluded_ids = {},
                  .is_repeatable = route->is_repeatable()});
        services.push_back(
            service_json(report, item, total, target.shared_prefix_tokens));
        services.back()["refusal"] =
            refusal.is_null() ? refusal_of(report) : refusal;
    }
    return {status_ok,
            json{{"router", options_.router_name},
                 {"route", route->name},
                 {"customer", customer},
                 {"config", config->version},
                 {"config_age_ms", in_ms(context_.confirmation_age(now))},
                 {"services", services}}
                .dump()};
}

} // namespace baobabloft::relay
