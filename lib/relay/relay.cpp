#include "baobabloft/relay/relay.hpp"

#include "store_timeout.hpp"

#include "baobabloft/net/random_seed.hpp"
#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"

namespace baobabloft::relay
{

namespace
{

namespace bhttp = boost::beast::http;
using router::log_event;
using router::log_level;

constexpr duration sweep_period = 50ms;
constexpr duration follow_period = 10ms;
/// A silent caller's connection is found out after this.
constexpr duration caller_unacknowledged = 10s;
/// Bytes sent to an upstream that stay unacknowledged for this long mean a
/// dead connection.
constexpr duration upstream_unacknowledged = 1500ms;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

constexpr http::stream_options upstream_stream{.unacknowledged_timeout =
                                                   upstream_unacknowledged};

dispatch::freshness_bounds freshness_of(const router::settings& options)
{
    return {.key_revocation = options.key_revocation_bound,
            .in_force = options.in_force_bound};
}

dispatch::arrival_bound arrival_bound_of(const router::settings& options)
{
    return {.ratio = options.retry_ratio,
            .slack = options.retry_slack,
            .window = options.retry_window};
}

} // namespace

dispatch::permitted_use relay_context::reliance(time_point now) const
{
    return dispatch::permitted_use_at(now, follower.confirmed_at(), freshness);
}

duration relay_context::proof_age(time_point now) const
{
    const auto proven = follower.confirmed_at();
    return proven ? now - *proven : duration{-1000};
}

std::size_t relay_context::routers() const
{
    return std::max<std::size_t>(follower.state().routers().size(), 1);
}

relay::relay(net::event_loop& loop, const router::settings& options,
             const header_dialect& dialect,
             const directory::record_codec& codec, directory_store& store,
             router::metrics& counters)
    : loop_(loop), options_(options), store_(store),
      context_{.loop = loop,
               .dialect = dialect,
               .counters = counters,
               .follower = {codec,
                            {.router = options.router_name,
                             .data_centre = options.data_centre}},
               .pool = http::channel_pool{loop, {.stream = upstream_stream}},
               .selector = {context_.follower.state(),
                            {.data_centre = options.data_centre,
                             .router = options.router_name,
                             .cold_limit = {.overrun = options.cold_overrun,
                                            .slack = options.cold_slack},
                             .started = net::boot_now()},
                            [this](const directory::known_upstream& upstream,
                                   const directory::routed_service& service)
                            {
                                return context_.pool.has_room(
                                    upstream.record.id, service.max_connections,
                                    context_.routers());
                            }},
               .budget = {arrival_bound_of(options), net::boot_now()},
               .freshness = freshness_of(options),
               .crashes = {},
               .suspect_crash =
                   [this](fingerprint request, const std::string& upstream)
               { suspect_crash(request, upstream); },
               .random = std::mt19937_64{net::random_seed()},
               .shutdown = {.limit = options.shutdown_timeout},
               .leaving_since = std::nullopt},
      started_(net::boot_now())
{
}

relay::~relay() = default;

bool relay::start(failure& reason)
{
    const http::listen_options to_callers{
        .stream = {.unacknowledged_timeout = caller_unacknowledged}};
    const auto listen = [&](const endpoint& address, auto on_accept)
    {
        auto listener = http::tcp_listener::open(loop_, address, to_callers,
                                                 on_accept, reason);
        if (!listener)
            return false;
        listeners_.push_back(std::move(listener));
        return true;
    };
    const auto pages = [this](std::shared_ptr<http::byte_stream> stream)
    {
        accept_page(std::move(stream));
    };
    if (!listen(options_.listen,
                [this](std::shared_ptr<http::byte_stream> stream)
                { accept(std::move(stream)); }))
        return false;
    if (options_.ready_listen && !listen(*options_.ready_listen, pages))
        return false;
    if (options_.metrics_listen && !listen(*options_.metrics_listen, pages))
        return false;
    loop_.every(sweep_period, [this] { sweep(); });
    loop_.every(follow_period, [this] { follow(); });
    follow();
    return true;
}

http::caller_limits relay::caller_limits() const
{
    http::caller_limits limits;
    if (const auto& config = context_.follower.state().config())
    {
        limits.header_bytes = config->bounds.header_bytes;
        limits.body_bytes = config->bounds.body_bytes;
        limits.header_timeout = config->bounds.header_timeout;
        limits.idle_timeout = config->bounds.idle_timeout;
    }
    return limits;
}

void relay::accept(std::shared_ptr<http::byte_stream> stream)
{
    callers_.accept(
        std::move(stream), caller_limits(),
        {.on_request =
             [this](const caller_ptr& channel, http::request&& message) {
                 return relay_session::start(context_, channel,
                                             std::move(message));
             },
         .on_rejected =
             [](unsigned status, std::string_view why)
         {
             log_event(log_level::info, "unreadable_request",
                       {{"status", std::to_string(status)},
                        {"why", std::string{why}}});
             return http::response{};
         }});
}

void relay::accept_page(std::shared_ptr<http::byte_stream> stream)
{
    callers_.accept(
        std::move(stream), http::caller_limits{},
        {.on_request =
             [this](const caller_ptr& channel, http::request&& message)
         {
             serve_page(channel, message);
             return nullptr;
         },
         .on_rejected = nullptr});
}

void relay::serve_page(const caller_ptr& channel, const http::request& message)
{
    const auto path = http::view_of(message.target());
    http::response out;
    out.set(bhttp::field::content_type, "text/plain; version=0.0.4");
    if (path == context_.dialect.readiness_path || path == "/readyz")
    {
        const bool ready = is_ready(net::boot_now());
        out.result(ready ? status_ok : status_unavailable);
        out.body() = ready ? "ready\n" : "not ready\n";
    }
    else if (path == "/metrics")
    {
        out.result(status_ok);
        update_gauges();
        out.body() = context_.counters.text();
    }
    else
        out.result(status_not_found);
    channel->respond(net::boot_now(), std::move(out), true);
}

bool relay::is_ready(time_point now) const
{
    return !context_.leaving() &&
           dispatch::is_fresh_enough_for_new_connections(
               now, context_.follower.confirmed_at(), context_.freshness) &&
           context_.follower.state().config() != nullptr;
}

void relay::note_readiness()
{
    const auto now = net::boot_now();
    const bool ready = is_ready(now);
    if (ready == was_ready_)
        return;
    was_ready_ = ready;
    context_.counters.set("baobab_ready", ready ? 1 : 0);
    log_event(
        log_level::info, "readiness_changed",
        {{"ready", ready ? "yes" : "no"},
         {"leaving", context_.leaving() ? "yes" : "no"},
         {"proof_age_ms", std::to_string(context_.proof_age(now) / 1ms)}});
}

void relay::sweep()
{
    const auto now = net::boot_now();
    callers_.check_timeouts(now);
    const auto& state = context_.follower.state();
    context_.pool.sweep(now, [&state](const std::string& id)
                        { return state.upstreams().contains(id); });
    if (state.change_count() != seen_generation_)
    {
        seen_generation_ = state.change_count();
        context_.selector.forget_removed_upstreams();
    }
    note_readiness();
    keep_registered();
    keep_linked();
    check_shutdown();
}

void relay::update_gauges()
{
    const auto now = net::boot_now();
    const auto& state = context_.follower.state();
    auto& counters = context_.counters;
    counters.set("baobab_members", static_cast<double>(state.routers().size()));
    counters.set("baobab_config_version",
                 state.config() ? static_cast<double>(state.config()->version)
                                : 0);
    counters.set("baobab_proof_age_seconds",
                 to_seconds(context_.proof_age(now)));
    counters.set("baobab_upstreams",
                 static_cast<double>(state.upstreams().size()));
    counters.set("baobab_callers", static_cast<double>(callers_.size()));
    counters.set("baobab_upstream_channels_opened",
                 static_cast<double>(context_.pool.opened()));
    counters.set("baobab_quarantined_requests",
                 static_cast<double>(context_.crashes.quarantined(now)));
    counters.set("baobab_watches_store",
                 context_.follower.is_watching_store(now) ? 1 : 0);
    counters.set("baobab_log_lines_lost",
                 static_cast<double>(router::lost_log_lines()));
}

void relay::reload(const router::settings& options)
{
    if (options.directory)
        store_.set_address(*options.directory);
    context_.freshness = freshness_of(options);
    context_.shutdown.limit = options.shutdown_timeout;
    context_.budget.set_bound(arrival_bound_of(options));
    context_.selector.set_cold_start_limit(
        {.overrun = options.cold_overrun, .slack = options.cold_slack});
    const bool moved = options.listen != options_.listen ||
                       options.ready_listen != options_.ready_listen ||
                       options.metrics_listen != options_.metrics_listen;
    log_event(moved ? log_level::warning : log_level::info, "settings_applied",
              {{"listeners", moved ? "unchanged until a restart" : "same"}});
    const auto listen = options_.listen;
    const auto ready = options_.ready_listen;
    const auto pages = options_.metrics_listen;
    options_ = options;
    options_.listen = listen;
    options_.ready_listen = ready;
    options_.metrics_listen = pages;
}

void relay::shut_down(std::function<void(bool)> done)
{
    if (context_.leaving())
        return;
    context_.leaving_since = net::boot_now();
    on_left_ = std::move(done);
    note_readiness();
}

void relay::check_shutdown()
{
    if (!context_.leaving() || !on_left_)
        return;
    const auto waited = net::boot_now() - *context_.leaving_since;
    if (waited < context_.shutdown.balancer_reaction)
        return;
    callers_.close_idle();
    const bool too_long =
        waited >= context_.shutdown.limit - context_.shutdown.reserve;
    if (callers_.size() > 0 && !too_long)
        return;
    const bool graceful = callers_.size() == 0;
    if (lease_)
        store_.end_lease(*lease_, store_timeout);
    const auto done = std::exchange(on_left_, nullptr);
    done(graceful);
}

} // namespace baobabloft::relay
