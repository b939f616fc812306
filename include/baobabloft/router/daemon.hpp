// The router daemon: runs the control task and the workers, and handles
// signals.
#pragma once

#include "baobabloft/router/control_task.hpp"
#include "baobabloft/router/worker.hpp"

#include <memory>
#include <thread>
#include <vector>

namespace baobabloft::router
{

/// Runs one router until SIGTERM or SIGINT. The first of these signals starts a
/// graceful shutdown, a second one stops at once. SIGHUP reloads the TLS
/// certificate.
class daemon
{
public:
    explicit daemon(const settings& options);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Binds the sockets and starts the threads. On failure returns false and
    /// sets `reason`.
    bool start(failure& reason);

    /// Runs until shutdown. Returns false if requests in progress were aborted.
    bool run();

private:
    static gboolean on_terminate(gpointer data);
    static gboolean on_reload(gpointer data);
    static gboolean on_drain_check(gpointer data);
    [[nodiscard]] std::size_t requests_in_progress() const;

    settings options_;
    std::shared_ptr<metrics> metrics_;
    control_task control_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::thread control_thread_;
    GMainLoop* main_loop_ = nullptr;
    bool is_shutting_down_ = false;
    bool has_aborted_requests_ = false;
    time_point shutdown_started_;
};

} // namespace baobabloft::router
