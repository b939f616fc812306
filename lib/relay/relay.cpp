// Listeners, status pages, periodic maintenance, settings and shutdown of a
// relay.
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

constexpr duration maintenance_period = 50ms;
constexpr duration directory_poll_period = 10ms;
/// Loads change within about the length of a request, some hundred
/// milliseconds.
constexpr duration traffic_report_period = 300ms;
/// Time after which the connection of an unresponsive caller is treated as
/// dead.
constexpr duration caller_unacknowledged_timeout = 10s;
/// Bytes sent to an upstream that stay unacknowledged, or cannot be sent as its
/// buffers are full, for this long mean a dead connection. A sound upstream may
/// be silent for a second or two, and TCP doubles the time between its tries.
constexpr duration upstream_unacknowledged_timeout = 2500ms;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

constexpr http::stream_options upstream_stream_options{
    .unacknowledged_timeout = upstream_unacknowledged_timeout};

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

dispatch::rollout_options rollout_options_of(const router::settings& options)
{
    return {.exposure = options.rollout_exposure,
            .exposure_slack = options.rollout_slack,
            .revert_bound = options.rollout_revert_bound};
}

} // namespace

dispatch::permitted_use
relay_context::permitted_config_use(time_point now) const
{
    auto doubt = dispatch::config_doubt::none;
    if (follower.is_config_superseded())
        doubt = dispatch::config_doubt::superseded;
    else if (follower.awaits_rewrites(now))
        doubt = dispatch::config_doubt::store_restored;
    return dispatch::permitted_use_at(now, follower.confirmed_at(), freshness,
                                      doubt);
}

duration relay_context::confirmation_age(time_point now) const
{
    const auto confirmed_at = follower.confirmed_at();
    return confirmed_at ? now - *confirmed_at : duration{-1000};
}

std::optional<time_point> relay_context::last_deadline() const
{
    if (!shutdown_started_at)
        return std::nullopt;
    return *shutdown_started_at + dispatch::request_limit(shutdown);
}

std::size_t relay_context::router_count() const
{
    return std::max<std::size_t>(follower.state().routers().size(), 1);
}

relay::relay(net::event_loop& loop, const router::settings& options,
             const header_dialect& dialect,
             const directory::record_codec& codec, directory_store& store,
             router::metrics& counters)
    : loop_(loop), options_(options), store_(store),
      context_{
          .loop = loop,
          .dialect = dialect,
          .counters = counters,
          .follower = {codec,
                       {.router = options.router_name,
                        .data_centre = options.data_centre}},
          .pool = http::channel_pool{loop, {.stream = upstream_stream_options}},
          .selector = {context_.follower.state(),
                       {.data_centre = options.data_centre,
                        .router = options.router_name,
                        .cold_limit = {.overrun = options.cold_overrun,
                                       .slack = options.cold_slack},
                        .started = net::boot_now()},
                       [this](const directory::known_upstream& upstream,
                              const directory::routed_service& service)
                       {
                           return context_.pool.has_capacity(
                               upstream.record.id, service.max_connections,
                               context_.router_count());
                       }},
          .retry_budget = {arrival_bound_of(options), net::boot_now()},
          .returns = {},
          .waiting = dispatch::waiting_room{},
          .hedges = dispatch::hedge_policy{options.hedge_share},
          .freshness = freshness_of(options),
          .protection = {self_id(),
                         [this]
                         {
                             return fleet_members();
                         }},
          .rollouts = {self_id(),
                       static_cast<std::uint32_t>(net::random_seed()),
                       [this] { return fleet_members(); },
                       rollout_options_of(options)},
          .record_received = [this](std::size_t bytes)
          { callers_.record_received(bytes); },
          .schedule_crash_check =
              [this](const crash_suspect& suspect, const std::string& upstream)
          { schedule_crash_check(suspect, upstream); },
          .send_protection_messages = [this] { send_protection_messages(); },
          .random = std::mt19937_64{net::random_seed()},
          .shutdown = {.limit = options.shutdown_timeout},
          .shutdown_started_at = std::nullopt},
      started_at_(net::boot_now())
{
    context_.retry_budget.set_hedge_share(options.hedge_share);
}

relay::~relay() = default;

bool relay::start(failure& reason)
{
    const http::listen_options caller_listen_options{
        .stream = {.unacknowledged_timeout = caller_unacknowledged_timeout}};
    const auto listen = [&](const endpoint& address, auto on_accept)
    {
        auto listener = http::tcp_listener::open(
            loop_, address, caller_listen_options, on_accept, reason);
        if (!listener)
            return false;
        listeners_.push_back(std::move(listener));
        return true;
    };
    const auto accept_status = [this](std::shared_ptr<http::byte_stream> stream)
    {
        accept_status_connection(std::move(stream));
    };
    if (!listen(options_.listen,
                [this](std::shared_ptr<http::byte_stream> stream)
                { accept_caller(std::move(stream)); }))
        return false;
    if (options_.ready_listen && !listen(*options_.ready_listen, accept_status))
        return false;
    if (options_.metrics_listen &&
        !listen(*options_.metrics_listen, accept_status))
        return false;
    loop_.run_every(maintenance_period, [this] { run_maintenance(); });
    loop_.run_every(directory_poll_period, [this] { follow_directory(); });
    loop_.run_every(traffic_report_period, [this] { send_traffic_report(); });
    follow_directory();
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

void relay::accept_caller(std::shared_ptr<http::byte_stream> stream)
{
    callers_.accept(
        std::move(stream), caller_limits(),
        {.on_request =
             [this](const caller_ptr& channel, http::request&& request) {
                 return relay_session::start(context_, channel,
                                             std::move(request));
             },
         .on_rejected =
             [](unsigned status, std::string_view reason)
         {
             log_event(log_level::info, "unreadable_request",
                       {{"status", std::to_string(status)},
                        {"why", std::string{reason}}});
             return http::response{};
         },
         .on_idle_timeout =
             [](const http::idle_end& end)
         {
             log_event(log_level::info, "idle_connection_closed",
                       {{"idle_ms", std::to_string(end.idle_time / 1ms)},
                        {"limit_ms", std::to_string(end.limit / 1ms)}});
         }});
}

void relay::accept_status_connection(std::shared_ptr<http::byte_stream> stream)
{
    callers_.accept(
        std::move(stream), http::caller_limits{},
        {.on_request =
             [this](const caller_ptr& channel, http::request&& request)
         {
             serve_status_page(channel, request);
             return nullptr;
         },
         .on_rejected = nullptr});
}

void relay::serve_status_page(const caller_ptr& channel,
                              const http::request& request)
{
    const auto path = http::std_view(request.target());
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
    else if (path == "/rollouts")
    {
        out.result(status_ok);
        out.set(bhttp::field::content_type, "application/json");
        out.body() = rollouts_page();
    }
    else if (path.starts_with("/where"))
    {
        auto answer = where(path);
        out.result(answer.status);
        out.set(bhttp::field::content_type, "application/json");
        out.body() = std::move(answer.body);
    }
    else
        out.result(status_not_found);
    channel->respond(net::boot_now(), std::move(out), true);
}

bool relay::is_ready(time_point now) const
{
    return !context_.is_shutting_down() &&
           dispatch::is_fresh_enough_for_new_connections(
               now, context_.follower.confirmed_at(), context_.freshness) &&
           context_.follower.state().config() != nullptr;
}

void relay::record_readiness()
{
    const auto now = net::boot_now();
    const bool ready = is_ready(now);
    if (ready == was_ready_)
        return;
    was_ready_ = ready;
    context_.counters.set("baobab_ready", ready ? 1 : 0);
    log_event(log_level::info, "readiness_changed",
              {{"ready", ready ? "yes" : "no"},
               {"leaving", context_.is_shutting_down() ? "yes" : "no"},
               {"proof_age_ms",
                std::to_string(context_.confirmation_age(now) / 1ms)}});
}

void relay::record_store_availability(time_point now)
{
    const bool unavailable = context_.follower.is_store_unavailable(now);
    if (unavailable == store_was_unavailable_)
        return;
    store_was_unavailable_ = unavailable;
    log_event(
        unavailable ? log_level::warning : log_level::info,
        unavailable ? "store_unavailable" : "store_available",
        {{"proof_age_ms", std::to_string(context_.confirmation_age(now) / 1ms)},
         {"watches_store",
          context_.follower.is_watching_store(now) ? "yes" : "no"}});
}

void relay::run_maintenance()
{
    const auto now = net::boot_now();
    callers_.check_timeouts(now);
    const auto& state = context_.follower.state();
    context_.pool.close_stale(now, [&state](const std::string& id)
                              { return state.upstreams().contains(id); });
    if (state.change_count() != pruned_change_count_)
    {
        pruned_change_count_ = state.change_count();
        context_.selector.erase_removed_upstreams(now);
    }
    record_readiness();
    record_store_availability(now);
    context_.protection.tick(now);
    send_protection_messages();
    run_rollouts();
    maintain_registration();
    update_router_socket();
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
                 to_seconds(context_.confirmation_age(now)));
    counters.set("baobab_directory_revision",
                 static_cast<double>(context_.follower.known_revision()));
    counters.set("baobab_directory_digest",
                 static_cast<double>(state.digest()));
    counters.set("baobab_upstreams",
                 static_cast<double>(state.upstreams().size()));
    counters.set("baobab_upstreams_limited",
                 static_cast<double>(context_.selector.limited_upstreams()));
    counters.set("baobab_callers", static_cast<double>(callers_.size()));
    counters.set("baobab_upstream_channels_opened",
                 static_cast<double>(context_.pool.total_opened()));
    const auto quarantined = context_.protection.quarantined(now);
    const auto requests = std::ranges::count(
        quarantined, true, &routing::quarantine_record::is_whole_request);
    counters.set("baobab_quarantined_requests", static_cast<double>(requests));
    counters.set("baobab_quarantined_parts",
                 static_cast<double>(std::ssize(quarantined) - requests));
    counters.set("baobab_rollouts_in_progress",
                 static_cast<double>(std::ranges::count_if(
                     state.rollouts(),
                     [](const auto& item)
                     {
                         const auto phase = item.second.phase;
                         return !phase ||
                                *phase == directory::rollout_phase::active;
                     })));
    counters.set("baobab_watches_store",
                 context_.follower.is_watching_store(now) ? 1 : 0);
    counters.set("baobab_requests_waiting",
                 static_cast<double>(context_.waiting.size()));
    counters.set("baobab_store_unavailable",
                 context_.follower.is_store_unavailable(now) ? 1 : 0);
    counters.set("baobab_log_lines_lost",
                 static_cast<double>(router::lost_log_lines()));
}

void relay::reload(const router::settings& options)
{
    if (options.directory)
        store_.set_address(*options.directory);
    context_.freshness = freshness_of(options);
    // The end of a shutdown in progress does not move: requests were accepted
    // by it.
    if (!context_.is_shutting_down())
        context_.shutdown.limit = options.shutdown_timeout;
    context_.retry_budget.set_bound(arrival_bound_of(options));
    context_.rollouts.set_options(rollout_options_of(options));
    context_.retry_budget.set_hedge_share(options.hedge_share);
    context_.hedges.set_max_share(options.hedge_share);
    context_.selector.set_cold_start_limit(
        {.overrun = options.cold_overrun, .slack = options.cold_slack});
    const bool listeners_changed =
        options.listen != options_.listen ||
        options.ready_listen != options_.ready_listen ||
        options.metrics_listen != options_.metrics_listen;
    log_event(listeners_changed ? log_level::warning : log_level::info,
              "settings_applied",
              {{"listeners",
                listeners_changed ? "unchanged until a restart" : "same"}});
    const auto listen = options_.listen;
    const auto ready_listen = options_.ready_listen;
    const auto metrics_listen = options_.metrics_listen;
    options_ = options;
    options_.listen = listen;
    options_.ready_listen = ready_listen;
    options_.metrics_listen = metrics_listen;
}

void relay::shut_down(std::function<void(bool)> done)
{
    if (context_.is_shutting_down())
        return;
    context_.shutdown_started_at = net::boot_now();
    on_shutdown_done_ = std::move(done);
    record_readiness();
}

void relay::check_shutdown()
{
    if (!context_.is_shutting_down() || !on_shutdown_done_)
        return;
    const auto now = net::boot_now();
    callers_.limit_deadlines(now, *context_.last_deadline());
    const auto phase = dispatch::shutdown_phase_at(
        now - *context_.shutdown_started_at, context_.shutdown);
    if (phase == dispatch::shutdown_phase::serving)
        return;
    callers_.close_idle(now);
    if (phase >= dispatch::shutdown_phase::refusing)
        callers_.refuse_unfinished();
    if (callers_.size() > 0 && phase < dispatch::shutdown_phase::over)
        return;
    const bool graceful = callers_.size() == 0;
    if (lease_ && registration_era_ == context_.follower.era())
        store_.end_lease(*lease_, store_timeout);
    const auto done = std::exchange(on_shutdown_done_, nullptr);
    done(graceful);
}

} // namespace baobabloft::relay
