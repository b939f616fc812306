#include "baobabloft/relay/relay.hpp"

#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"

#include <sodium.h>

namespace baobabloft::relay
{

namespace
{

namespace bhttp = boost::beast::http;
using router::log_event;
using router::log_level;

constexpr duration sweep_period = 50ms;
constexpr duration follow_period = 10ms;
/// Answers of the store take milliseconds; a slow store takes a few hundred.
constexpr duration store_timeout = 700ms;
/// Another router answers within a few milliseconds unless the datagram or the
/// router is lost.
constexpr duration ask_timeout = 120ms;
constexpr std::size_t secret_bytes = 32;
/// Resets of a crashed upstream's other connections have arrived by then.
constexpr duration crash_judgement_delay = 60ms;
/// A crashed upstream refuses a connection well within this.
constexpr duration crash_probe_time = 200ms;
/// Lifetime of this router's entry; others count it until then.
constexpr duration registration_lifetime = 10s;
constexpr duration registration_period = 3s;
constexpr duration registration_retry = 500ms;
constexpr duration registration_spread = 500ms;
/// A silent caller's connection is found out after this.
constexpr duration caller_unacknowledged = 10s;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

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

dispatch::reliance relay_context::reliance(time_point now) const
{
    return dispatch::reliance_at(now, follower.proven_at(), freshness);
}

duration relay_context::proof_age(time_point now) const
{
    const auto proven = follower.proven_at();
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
               .pool = channel_pool{loop},
               .selector = {context_.follower.state(),
                            {.data_centre = options.data_centre,
                             .router = options.router_name,
                             .cold = {.overrun = options.cold_overrun,
                                      .slack = options.cold_slack},
                             .started = net::boot_now()},
                            [this](const directory::known_upstream& upstream,
                                   const directory::routed_service& service)
                            {
                                return context_.pool.has_room(
                                    upstream.record, service.max_connections,
                                    context_.routers());
                            }},
               .budget = {arrival_bound_of(options), net::boot_now()},
               .freshness = freshness_of(options),
               .crashes = {},
               .suspect_crash =
                   [this](fingerprint request, const std::string& upstream)
               { suspect_crash(request, upstream); },
               .random = std::mt19937_64{random_seed()},
               .shutdown = {.limit = options.shutdown_timeout},
               .leaving_since = std::nullopt},
      started_(net::boot_now())
{
}

relay::~relay() = default;

bool relay::start(failure& reason)
{
    const http::stream_options to_callers{.unacknowledged_timeout =
                                              caller_unacknowledged};
    const auto listen = [&](const endpoint& address, auto on_accept)
    {
        auto listener = http::tcp_listener::open(loop_, address, to_callers,
                                                 on_accept, reason);
        if (!listener)
            return false;
        listeners_.push_back(std::move(listener));
        return true;
    };
    const auto pages = [this](std::shared_ptr<http::tcp_stream> stream)
    {
        accept_page(std::move(stream));
    };
    if (!listen(options_.listen,
                [this](std::shared_ptr<http::tcp_stream> stream)
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

void relay::accept(std::shared_ptr<http::tcp_stream> stream)
{
    const auto channel = std::make_shared<http::caller_channel>(
        std::move(stream), caller_limits(), net::boot_now());
    callers_.insert(channel);
    const std::weak_ptr<http::caller_channel> weak = channel;
    // The session of the request in progress, shared by the callbacks.
    const auto session = std::make_shared<std::weak_ptr<relay_session>>();
    channel->start({.on_request =
                        [this, weak, session](http::request&& message)
                    {
                        if (const auto held = weak.lock())
                            *session = relay_session::start(context_, held,
                                                            std::move(message));
                    },
                    .on_gone =
                        [this, weak, session]
                    {
                        if (const auto active = session->lock())
                            active->caller_gone();
                        callers_.erase(weak.lock());
                    },
                    .on_drained =
                        [session]
                    {
                        if (const auto active = session->lock())
                            active->caller_drained();
                    },
                    .on_rejected =
                        [](unsigned status, std::string_view why)
                    {
                        log_event(log_level::info, "unreadable_request",
                                  {{"status", std::to_string(status)},
                                   {"why", std::string{why}}});
                    }});
}

void relay::accept_page(std::shared_ptr<http::tcp_stream> stream)
{
    const auto channel = std::make_shared<http::caller_channel>(
        std::move(stream), http::caller_limits{}, net::boot_now());
    callers_.insert(channel);
    const std::weak_ptr<http::caller_channel> weak = channel;
    channel->start({.on_request =
                        [this, weak](http::request&& message)
                    {
                        if (const auto held = weak.lock())
                            serve_page(held, message);
                    },
                    .on_gone = [this, weak] { callers_.erase(weak.lock()); },
                    .on_drained = nullptr,
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
           dispatch::is_fresh_enough_to_attract(
               now, context_.follower.proven_at(), context_.freshness) &&
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
    std::vector<caller_ptr> closed;
    for (const auto& channel : callers_)
        closed.push_back(channel);
    std::erase_if(closed, [now](const caller_ptr& channel)
                  { return channel->check_timeouts(now); });
    for (const auto& channel : closed)
        callers_.erase(channel);
    const auto& state = context_.follower.state();
    context_.pool.sweep(now, state);
    if (state.generation() != seen_generation_)
    {
        seen_generation_ = state.generation();
        context_.selector.forget_gone();
    }
    note_readiness();
    keep_registered();
    keep_linked();
    check_shutdown();
}

void relay::follow()
{
    if (const auto call = context_.follower.next(net::boot_now()))
        std::visit([this](const auto& part) { call_store(part); }, *call);
    report_changes();
}

void relay::note_call(std::string_view kind, bool answered,
                      const failure& reason)
{
    context_.counters.platform_call(kind, answered);
    if (answered == store_answers_)
        return;
    store_answers_ = answered;
    log_event(answered ? log_level::info : log_level::warning,
              answered ? "store_regained" : "store_lost",
              {{"call", std::string{kind}},
               {"proof_age_ms",
                std::to_string(context_.proof_age(net::boot_now()) / 1ms)},
               {"reason", reason.message}});
}

void relay::call_store(const directory::read_page& call)
{
    store_.read_page(call.after, store_timeout,
                     [this](const std::optional<directory::entry_page>& page,
                            const failure& reason)
                     {
                         const auto now = net::boot_now();
                         if (page)
                             context_.follower.page_arrived(now, *page);
                         else
                             context_.follower.call_failed(now);
                         note_call("directory_read", page.has_value(), reason);
                         follow();
                     });
}

void relay::call_store(const directory::watch_changes& call)
{
    store_.watch(call, call.wait + store_timeout,
                 [this](const watch_result& result, const failure& reason)
                 {
                     const auto now = net::boot_now();
                     auto& follower = context_.follower;
                     if (result.changes)
                         follower.changes_arrived(now, *result.changes);
                     else if (result.history_lost)
                     {
                         log_event(log_level::info, "store_history_lost");
                         follower.history_lost(now);
                     }
                     else
                         follower.call_failed(now);
                     note_call("directory_watch",
                               result.changes || result.history_lost, reason);
                     follow();
                 });
}

void relay::call_store(const directory::read_entry& call)
{
    store_.read_entry(
        call.key, store_timeout,
        [this](const std::optional<std::optional<directory::entry>>& result,
               const failure& reason)
        {
            const auto now = net::boot_now();
            if (result)
                context_.follower.entry_arrived(now, *result);
            else
                context_.follower.call_failed(now);
            note_call("directory_entry", result.has_value(), reason);
            follow();
        });
}

void relay::call_store(const directory::ask_router& call)
{
    const auto host = parse_ipv4(call.control.host);
    if (!socket_ || !host)
    {
        context_.follower.router_silent(net::boot_now());
        return;
    }
    send(make_router_id(*host, call.control.port), call.message);
    ask_timer_ = loop_.after(
        ask_timeout,
        [this, name = call.router]
        {
            ask_timer_ = 0;
            log_event(log_level::info, "router_silent", {{"router", name}});
            context_.follower.router_silent(net::boot_now());
            follow();
        });
}

void relay::keep_linked()
{
    const auto& state = context_.follower.state();
    if (!context_.follower.is_complete())
        return;
    if (state.secret().empty())
    {
        if (secret_offered_)
            return;
        secret_offered_ = true;
        std::string secret(secret_bytes, '\0');
        randombytes_buf(secret.data(), secret.size());
        store_.create_secret(secret, store_timeout);
        return;
    }
    if (socket_ && linked_secret_ == state.secret())
        return;
    linked_secret_ = state.secret();
    keys_.emplace(std::vector<std::string>{linked_secret_});
    const auto host = parse_ipv4(options_.control_listen.host);
    failure reason;
    if (!socket_)
        socket_ = net::datagram_socket::open(
            loop_,
            make_router_id(host.value_or(0), options_.control_listen.port),
            [this](router_id from, std::string_view bytes)
            { receive(from, bytes); },
            reason);
    log_event(socket_ ? log_level::info : log_level::error,
              socket_ ? "linked" : "link_failed",
              {{"address", to_string(options_.control_listen)},
               {"reason", reason.message}});
}

void relay::send(router_id to, const fleet::message& message)
{
    const auto self =
        make_router_id(parse_ipv4(options_.control_listen.host).value_or(0),
                       options_.control_listen.port);
    const auto bytes = net::encode_datagram(*keys_, self, message);
    context_.counters.datagram_sent(fleet::message_names.at(message.index()),
                                    bytes.size() + net::datagram_header_bytes);
    socket_->send(to, bytes);
}

void relay::receive(router_id from, std::string_view bytes)
{
    failure reason;
    const auto message = net::decode_datagram(*keys_, from, bytes, reason);
    if (!message)
    {
        context_.counters.datagram_refused(
            name_in(failure_kind_names, reason.kind));
        return;
    }
    context_.counters.datagram_received(
        fleet::message_names.at(message->index()),
        bytes.size() + net::datagram_header_bytes);
    std::visit(
        [&](const auto& part)
        {
            // Other kinds are between routers that follow a preset.
            if constexpr (requires { handle(from, part); })
                handle(from, part);
        },
        *message);
}

void relay::handle(router_id from, const directory::change_ask& message)
{
    send(from, context_.follower.answer(net::boot_now(), message));
}

void relay::handle(router_id /*from*/, const directory::change_answer& message)
{
    if (!context_.follower.router_answered(net::boot_now(), message))
        return;
    loop_.cancel(ask_timer_);
    ask_timer_ = 0;
    follow();
}

void relay::handle(router_id /*from*/, const directory::change_notice& message)
{
    context_.follower.notice_arrived(net::boot_now(), message);
    follow();
}

void relay::handle(router_id /*from*/, const routing::crash_notice& message)
{
    context_.crashes.record(net::boot_now(), message.request, message.upstream);
}

void relay::suspect_crash(fingerprint request, const std::string& upstream)
{
    const auto open_before = context_.pool.open_count(upstream);
    loop_.after(crash_judgement_delay, [this, request, upstream, open_before]
                { judge_crash(request, upstream, open_before); });
}

void relay::judge_crash(fingerprint request, const std::string& upstream,
                        std::size_t open_before)
{
    // A crash takes every connection with it; a lost answer only its own.
    if (context_.pool.open_count(upstream) > 0)
        return;
    if (open_before > 0)
    {
        note_crash(request, upstream);
        return;
    }
    const auto& known = context_.follower.state().upstreams();
    const auto found = known.find(upstream);
    if (found == known.end())
        return;
    const auto probe =
        http::tcp_stream::connect(loop_, found->second.record.address, {});
    if (!probe)
        return;
    probe->set_handlers({.on_connected =
                             [weak = std::weak_ptr{probe}]
                         {
                             if (const auto held = weak.lock())
                                 held->close();
                         },
                         .on_data = nullptr,
                         .on_end =
                             [this, request, upstream](http::stream_end how)
                         {
                             if (how == http::stream_end::connect_failed)
                                 note_crash(request, upstream);
                         },
                         .on_drained = nullptr});
    // Holds the probe until it is decided.
    loop_.after(crash_probe_time, [probe] { probe->close(); });
}

void relay::note_crash(fingerprint request, const std::string& upstream)
{
    const auto now = net::boot_now();
    const routing::crash_notice notice{request, make_upstream_id(upstream)};
    context_.crashes.record(now, request, notice.upstream);
    log_event(log_level::warning, "upstream_crashed",
              {{"upstream", upstream},
               {"fingerprint", std::to_string(raw(request))},
               {"quarantined", context_.crashes.standing(now, request) ==
                                       routing::crash_standing::quarantined
                                   ? "yes"
                                   : "no"}});
    if (!socket_)
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
        if (const auto host = parse_ipv4(router.control.host);
            host && name != options_.router_name)
            send(make_router_id(*host, router.control.port), notice);
}

void relay::notify_routers()
{
    if (!socket_ || !context_.follower.is_watching(net::boot_now()))
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
    {
        const auto host = parse_ipv4(router.control.host);
        if (host && name != options_.router_name &&
            router.data_centre == options_.data_centre)
            send(make_router_id(*host, router.control.port),
                 directory::change_notice{context_.follower.known_revision()});
    }
}

void relay::report_changes()
{
    const auto changes = context_.follower.state().take_changes();
    if (!changes.empty())
        notify_routers();
    for (const auto& change : changes)
    {
        const auto kind = name_in(directory::belief_change_names, change.kind);
        context_.counters.count("baobab_directory_changes_total", "kind", kind);
    }
    for (const auto& change : changes)
        log_event(log_level::info,
                  name_in(directory::belief_change_names, change.kind),
                  {{"name", change.name},
                   {"detail", change.detail},
                   {"revision", std::to_string(change.changed)}});
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
                 context_.follower.is_watching(now) ? 1 : 0);
    counters.set("baobab_log_lines_lost",
                 static_cast<double>(router::lost_log_lines()));
}

void relay::keep_registered()
{
    const auto now = net::boot_now();
    if (registering_ || now < next_registration_ || context_.leaving())
        return;
    if (!context_.follower.is_complete())
        return;
    registering_ = true;
    if (lease_)
    {
        store_.renew_lease(
            *lease_, store_timeout,
            [this](lease_renewal renewal, const failure& reason)
            {
                registering_ = false;
                if (renewal == lease_renewal::ended)
                {
                    log_event(log_level::info, "registration_lost");
                    lease_.reset();
                    return;
                }
                const bool renewed = renewal == lease_renewal::renewed;
                context_.counters.platform_call("lease_renewal", renewed);
                if (!renewed)
                    log_event(log_level::debug, "registration_not_renewed",
                              {{"reason", reason.message}});
                next_registration_ =
                    net::boot_now() +
                    (renewed ? registration_period : registration_retry);
            });
        return;
    }
    store_.grant_lease(
        registration_lifetime, store_timeout,
        [this](const std::optional<lease_id>& lease, const failure&)
        {
            context_.counters.platform_call("lease_grant", lease.has_value());
            lease_ = lease;
            if (lease)
            {
                register_router();
                return;
            }
            registering_ = false;
            next_registration_ = net::boot_now() + registration_retry;
        });
}

void relay::register_router()
{
    store_.write_router(
        {options_.router_name, options_.control_listen, options_.data_centre},
        *lease_, store_timeout,
        [this](bool written, const failure& reason)
        {
            registering_ = false;
            context_.counters.platform_call("registration", written);
            log_event(log_level::info,
                      written ? "registered" : "registration_failed",
                      {{"reason", reason.message}});
            if (!written)
                lease_.reset();
            next_registration_ =
                net::boot_now() +
                (written ? registration_period : registration_retry);
        });
}

void relay::reload(const router::settings& options)
{
    if (options.directory)
        store_.set_address(*options.directory);
    context_.freshness = freshness_of(options);
    context_.shutdown.limit = options.shutdown_timeout;
    context_.budget.set_bound(arrival_bound_of(options));
    context_.selector.set_cold_bound(
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
    if (waited < context_.shutdown.notice)
        return;
    for (const auto& channel : std::vector(callers_.begin(), callers_.end()))
        if (channel->close_if_idle())
            callers_.erase(channel);
    const bool too_long =
        waited >= context_.shutdown.limit - context_.shutdown.reserve;
    if (!callers_.empty() && !too_long)
        return;
    const bool graceful = callers_.empty();
    if (lease_)
        store_.end_lease(*lease_, store_timeout);
    const auto done = std::exchange(on_left_, nullptr);
    done(graceful);
}

} // namespace baobabloft::relay
