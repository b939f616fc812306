#include "baobabloft/relay/relay_daemon.hpp"

#include "baobabloft/router/log.hpp"

#include <csignal>
#include <glib-unix.h>
#include <sys/stat.h>

namespace baobabloft::relay
{

namespace
{

using router::log_event;
using router::log_level;

constexpr duration settings_check_period = 1s;

/// Returns the modification time of `path`, in ns since the epoch, or 0 if the
/// file is not accessible.
std::int64_t modification_time_ns(const std::string& path)
{
    struct stat status
    {
    };
    if (path.empty() || stat(path.c_str(), &status) != 0)
        return 0;
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return status.st_mtim.tv_sec * ns_per_s + status.st_mtim.tv_nsec;
}

} // namespace

relay_daemon::relay_daemon(const router::settings& options,
                           platform_adapter adapter, std::string settings_file,
                           settings_reader read_settings)
    : options_(options), adapter_(std::move(adapter)),
      settings_file_(std::move(settings_file)),
      read_settings_(std::move(read_settings)),
      settings_mtime_ns_(modification_time_ns(settings_file_))
{
    store_ = adapter_.make_store(loop_, *options_.directory);
    relay_ = std::make_unique<relay>(loop_, options_, adapter_.dialect,
                                     *adapter_.codec, *store_, counters_);
}

relay_daemon::~relay_daemon() = default;

void relay_daemon::add_signal_handler(int number, GSourceFunc handler)
{
    auto* source = g_unix_signal_source_new(number);
    g_source_set_callback(source, handler, this, nullptr);
    g_source_attach(source, loop_.context());
    g_source_unref(source);
}

bool relay_daemon::start(failure& reason)
{
    add_signal_handler(SIGTERM, on_terminate);
    add_signal_handler(SIGINT, on_terminate);
    add_signal_handler(SIGHUP, on_reload);
    if (!settings_file_.empty())
        loop_.run_every(settings_check_period,
                        [this] { check_settings_file(); });
    if (!relay_->start(reason))
        return false;
    log_event(log_level::info, "started",
              {{"listen", to_string(options_.listen)},
               {"router", options_.router_name},
               {"data_centre", options_.data_centre},
               {"directory", to_string(*options_.directory)}});
    return true;
}

bool relay_daemon::run()
{
    loop_.run();
    log_event(graceful_ ? log_level::info : log_level::warning, "stopped",
              {{"graceful", graceful_ ? "yes" : "no"}});
    return graceful_;
}

gboolean relay_daemon::on_terminate(gpointer data)
{
    auto* self = static_cast<relay_daemon*>(data);
    log_event(log_level::info, "leaving");
    self->relay_->shut_down(
        [self](bool graceful)
        {
            self->graceful_ = graceful;
            self->loop_.stop();
        });
    return G_SOURCE_CONTINUE;
}

gboolean relay_daemon::on_reload(gpointer data)
{
    auto* self = static_cast<relay_daemon*>(data);
    self->settings_mtime_ns_ = modification_time_ns(self->settings_file_);
    self->reload("signal");
    return G_SOURCE_CONTINUE;
}

void relay_daemon::check_settings_file()
{
    const auto mtime_ns = modification_time_ns(settings_file_);
    if (mtime_ns == settings_mtime_ns_ || mtime_ns == 0)
        return;
    settings_mtime_ns_ = mtime_ns;
    reload("file changed");
}

void relay_daemon::reload(std::string_view reason)
{
    const auto options = read_settings_();
    log_event(options ? log_level::info : log_level::error,
              options ? "settings_read" : "settings_rejected",
              {{"why", std::string{reason}}});
    if (options)
        relay_->reload(*options);
}

} // namespace baobabloft::relay
