// Runs one relay until a signal ends it. SIGTERM and SIGINT shut it down
// gracefully; SIGHUP or a change of the settings file reloads the settings.
#pragma once

#include "baobabloft/relay/relay.hpp"

namespace baobabloft::relay
{

/// Connects a relay to one platform.
struct platform_adapter
{
    header_dialect dialect;
    std::unique_ptr<directory::record_codec> codec;
    /// Creates the client of the store at `address`.
    std::function<std::unique_ptr<directory_store>(net::event_loop& loop,
                                                   const endpoint& address)>
        make_store;
};

/// Reads the settings again. Returns an empty result, with the errors logged,
/// if they are invalid.
using settings_reader = std::function<std::optional<router::settings>()>;

/// Runs a relay with its event loop, store client and signal handlers.
class relay_daemon
{
public:
    /// Checks `settings_file` for changes while it runs, unless the path is
    /// empty.
    relay_daemon(const router::settings& options, platform_adapter adapter,
                 std::string settings_file, settings_reader read_settings);
    ~relay_daemon();
    relay_daemon(const relay_daemon&) = delete;
    relay_daemon& operator=(const relay_daemon&) = delete;

    /// Starts the relay and installs the signal handlers. Returns false and
    /// sets `reason` if a listener cannot be opened.
    bool start(failure& reason);

    /// Runs the event loop until the shutdown is complete. Returns false if
    /// requests in progress were cut off.
    bool run();

private:
    static gboolean on_terminate(gpointer data);
    static gboolean on_reload(gpointer data);
    void add_signal_handler(int number, GSourceFunc handler);
    void reload(std::string_view reason);
    void check_settings_file();

    router::settings options_;
    platform_adapter adapter_;
    std::string settings_file_;
    settings_reader read_settings_;
    net::event_loop loop_;
    router::metrics counters_;
    std::unique_ptr<directory_store> store_;
    std::unique_ptr<relay> relay_;
    /// Modification time of the settings file when it was last read. 0 if it
    /// was not accessible; it is then read again once it is accessible.
    std::int64_t settings_mtime_ns_ = 0;
    bool graceful_ = true;
};

} // namespace baobabloft::relay
