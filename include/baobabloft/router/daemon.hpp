// The router daemon: control task, workers and signals put together.
#pragma once

#include "baobabloft/router/control_task.hpp"
#include "baobabloft/router/worker.hpp"

#include <memory>
#include <thread>
#include <vector>

namespace baobabloft::router
{

/// Runs one router until a signal ends it. SIGTERM and SIGINT shut down
/// gracefully, a second one at once; SIGHUP reads the certificate again.
class daemon
{
public:
    explicit daemon(const settings& options);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Binds sockets and starts threads.
    bool start(failure& reason);

    /// Waits for the end. Returns false if requests in progress were cut.
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
