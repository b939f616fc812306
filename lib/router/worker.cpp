#include "baobabloft/router/worker.hpp"

#include "baobabloft/net/random_seed.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/router/pages.hpp"
#include "baobabloft/router/proxy_session.hpp"

#include <algorithm>

namespace baobabloft::router
{

namespace
{

constexpr duration timeout_check_period = 250ms;
/// Idle time after which TCP keepalive probes are sent. An unresponsive peer is
/// detected within about 11 seconds.
constexpr duration probe_delay = 5s;
constexpr duration unacknowledged_timeout = 11s;
/// Longest time for which idle connections of callers are kept.
constexpr duration caller_idle_timeout = 60s;
constexpr duration caller_header_timeout = 10s;
/// Longest time for which idle connections to upstreams are kept. Upstreams do
/// not announce an idle timeout; if one closes a connection earlier, the close
/// is detected.
constexpr duration upstream_idle_timeout = 30s;
constexpr unsigned status_content_too_large = 413;
constexpr unsigned status_bad_request = 400;

constexpr http::stream_options stream_options{
    .unacknowledged_timeout = unacknowledged_timeout,
    .keepalive_idle_time = probe_delay};

} // namespace

worker_context::worker_context(const settings& shared_options,
                               control_task& shared_control,
                               metrics& shared_counters)
    : options(shared_options), control(shared_control),
      counters(shared_counters),
      upstream_channels(loop, {.stream = stream_options,
                               .default_idle_timeout = upstream_idle_timeout,
                               .max_idle_time = upstream_idle_timeout}),
      random(net::random_seed())
{
}

bool worker_context::is_leaving() const
{
    return state.readiness == fleet::readiness::leaving;
}

worker::worker(const settings& options, control_task& control,
               metrics& counters)
    : context_(options, control, counters),
      callers_(
          std::max(http::caller_table::default_buffer_limit / options.workers,
                   options.max_answer_bytes))
{
    context_.record_received = [this](std::size_t bytes)
    {
        callers_.record_received(bytes);
    };
}

worker::~worker()
{
    stop();
}

bool worker::start(failure& reason)
{
    if (!load_certificate(reason) || !listen(reason))
        return false;
    context_.loop.run_every(timeout_check_period,
                            [this] { close_expired_connections(); });
    context_.control.subscribe(context_.loop,
                               [this](const published_state& state)
                               { context_.state = state; });
    thread_ = std::thread{[this]
                          {
                              context_.loop.run();
                          }};
    return true;
}

void worker::reload_certificate()
{
    context_.loop.post(
        [this]
        {
            failure reason;
            if (!load_certificate(reason))
                log_event(log_level::error, "certificate_rejected",
                          {{"reason", reason.text()}});
            else
                log_event(log_level::info, "certificate_loaded");
        });
}

void worker::limit_deadlines(time_point last)
{
    context_.loop.post(
        [this, last] { callers_.limit_deadlines(net::monotonic_now(), last); });
}

void worker::stop()
{
    if (!thread_.joinable())
        return;
    context_.loop.stop();
    thread_.join();
    listener_.reset();
}

std::size_t worker::requests_in_progress() const
{
    return context_.requests_in_progress;
}

bool worker::listen(failure& reason)
{
    const auto& options = context_.options;
    listener_ = http::tcp_listener::open(
        context_.loop, options.listen,
        {.stream = stream_options,
         .reuse_port = true,
         .certificate =
             options.tls_certificate.empty() ? nullptr : &certificate_},
        [this](std::shared_ptr<http::byte_stream> stream)
        { accept(std::move(stream)); },
        reason);
    return listener_ != nullptr;
}

bool worker::load_certificate(failure& reason)
{
    const auto& options = context_.options;
    return options.tls_certificate.empty() ||
           certificate_.load(options.tls_certificate, options.tls_key, reason);
}

void worker::accept(std::shared_ptr<http::byte_stream> stream)
{
    http::caller_limits limits;
    limits.body_bytes = context_.options.max_body_bytes;
    limits.header_timeout = caller_header_timeout;
    limits.idle_timeout = caller_idle_timeout;
    callers_.accept(
        std::move(stream), limits,
        {.on_request = [this](const caller_ptr& caller, http::request&& message)
         { return serve(caller, std::move(message)); },
         .on_rejected =
             [this](unsigned status, std::string_view /*why*/)
         {
             return make_rejection_response(status);
         }});
}

std::shared_ptr<http::caller_session> worker::serve(const caller_ptr& caller,
                                                    http::request&& message)
{
    if (!is_page_request(message))
        return proxy_session::start(context_, caller, std::move(message));
    serve_page(context_, caller, message);
    return nullptr;
}

http::response worker::make_rejection_response(unsigned status)
{
    http::response response;
    const auto kind = status == status_content_too_large
                          ? refusal_kind::body_too_large
                          : refusal_kind::bad_request;
    context_.counters.record_refusal(kind);
    // Other statuses need no body.
    if (status != status_content_too_large && status != status_bad_request)
        return response;
    response.set("Content-Type", "application/problem+json");
    // The request is not parsed, so that its key is not known.
    response.body() = problem_json(kind, executed::unknown, "");
    return response;
}

void worker::close_expired_connections()
{
    const auto now = net::boot_now();
    callers_.check_timeouts(now);
    // Idle connections to upstreams that were removed from the preset are
    // closed by their idle timeout.
    context_.upstream_channels.close_stale(now, [](const std::string&)
                                           { return true; });
}

} // namespace baobabloft::router
