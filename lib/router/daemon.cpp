#include "baobabloft/router/daemon.hpp"

#include "baobabloft/dispatch/shutdown_rules.hpp"
#include "baobabloft/router/log.hpp"

#include <csignal>
#include <glib-unix.h>

namespace baobabloft::router
{

namespace
{

constexpr guint drain_check_ms = 100;
/// Shortest duration of a shutdown, even if no request is in progress: load
/// balancers and peers need this time to notice it.
constexpr duration min_drain_time = 500ms;

} // namespace

daemon::daemon(const settings& options)
    : options_(options), metrics_(std::make_shared<metrics>()),
      control_(options, metrics_)
{
}

daemon::~daemon()
{
    for (auto& item : workers_)
        item->stop();
    if (control_thread_.joinable())
    {
        control_.stop();
        control_thread_.join();
    }
    if (main_loop_ != nullptr)
        g_main_loop_unref(main_loop_);
}

bool daemon::start(failure& reason)
{
    if (!control_.open(reason))
        return false;
    for (unsigned index = 0; index < options_.workers; ++index)
    {
        workers_.push_back(
            std::make_unique<worker>(options_, control_, *metrics_));
        if (!workers_.back()->start(reason))
            return false;
    }
    control_thread_ = std::thread{[this]
                                  {
                                      control_.run();
                                  }};
    log_event(log_level::info, "started",
              {{"listen", options_.listen.host + ":" +
                              std::to_string(options_.listen.port)},
               {"control", options_.control_listen.host + ":" +
                               std::to_string(options_.control_listen.port)},
               {"data_centre", options_.data_centre}});
    return true;
}

bool daemon::run()
{
    main_loop_ = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, on_terminate, this);
    g_unix_signal_add(SIGINT, on_terminate, this);
    g_unix_signal_add(SIGHUP, on_reload, this);
    g_main_loop_run(main_loop_);
    log_event(
        has_aborted_requests_ ? log_level::warning : log_level::info, "stopped",
        {{"cut",
          std::to_string(has_aborted_requests_ ? requests_in_progress() : 0)}});
    return !has_aborted_requests_;
}

gboolean daemon::on_terminate(gpointer data)
{
    auto* self = static_cast<daemon*>(data);
    if (self->is_shutting_down_)
    {
        self->has_aborted_requests_ = self->requests_in_progress() > 0;
        g_main_loop_quit(self->main_loop_);
        return G_SOURCE_CONTINUE;
    }
    self->is_shutting_down_ = true;
    self->shutdown_started_ = net::monotonic_now();
    self->control_.leave();
    g_timeout_add(drain_check_ms, on_drain_check, self);
    return G_SOURCE_CONTINUE;
}

gboolean daemon::on_reload(gpointer data)
{
    auto* self = static_cast<daemon*>(data);
    for (auto& item : self->workers_)
        item->reload_certificate();
    return G_SOURCE_CONTINUE;
}

gboolean daemon::on_drain_check(gpointer data)
{
    auto* self = static_cast<daemon*>(data);
    const auto elapsed = net::monotonic_now() - self->shutdown_started_;
    const dispatch::shutdown_times times{.limit =
                                             self->options_.shutdown_timeout};
    for (auto& item : self->workers_)
        item->limit_deadlines(self->shutdown_started_ +
                              dispatch::request_limit(times));
    const bool is_drained =
        self->requests_in_progress() == 0 && elapsed >= min_drain_time;
    const bool timed_out = dispatch::shutdown_phase_at(elapsed, times) ==
                           dispatch::shutdown_phase::over;
    if (!is_drained && !timed_out)
        return G_SOURCE_CONTINUE;
    self->has_aborted_requests_ = !is_drained;
    g_main_loop_quit(self->main_loop_);
    return G_SOURCE_REMOVE;
}

std::size_t daemon::requests_in_progress() const
{
    std::size_t total = 0;
    for (const auto& item : workers_)
        total += item->requests_in_progress();
    return total;
}

} // namespace baobabloft::router
