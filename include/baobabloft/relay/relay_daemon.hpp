// Runs one relay until a signal ends it: SIGTERM and SIGINT shut down
// gracefully, SIGHUP and a changed settings file apply the settings again.
#pragma once

#include "baobabloft/relay/relay.hpp"

namespace baobabloft::relay
{

/// The adapter to a platform.
struct platform_adapter
{
    header_dialect dialect;
    std::unique_ptr<directory::record_codec> codec;
    /// Makes the client for the store at `address`.
    std::function<std::unique_ptr<directory_store>(net::event_loop& loop,
                                                   const endpoint& address)>
        make_store;
};

/// Reads the settings again; nothing, with the mistakes logged, if they are
/// wrong.
using settings_reader = std::function<std::optional<router::settings>()>;

/// The daemon around a relay.
class relay_daemon
{
public:
    /// `settings_file` is watched for changes; empty if there is none.
    relay_daemon(const router::settings& options, platform_adapter adapter,
                 std::string settings_file, settings_reader read_settings);
    ~relay_daemon();
    relay_daemon(const relay_daemon&) = delete;
    relay_daemon& operator=(const relay_daemon&) = delete;

    bool start(failure& reason);

    /// Waits for the end. Returns false if requests in progress were cut.
    bool run();

private:
    static gboolean on_terminate(gpointer data);
    static gboolean on_reload(gpointer data);
    void add_signal_handler(int number, GSourceFunc handler);
    void reload(std::string_view why);
    void check_settings_file();

    router::settings options_;
    platform_adapter adapter_;
    std::string settings_file_;
    settings_reader read_settings_;
    net::event_loop loop_;
    router::metrics counters_;
    std::unique_ptr<directory_store> store_;
    std::unique_ptr<relay> relay_;
    std::int64_t settings_mtime_ns_ = 0;
    bool graceful_ = true;
};

} // namespace baobabloft::relay
