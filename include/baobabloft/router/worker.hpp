// A worker: one thread with its own listener on the shared port and its own
// connections to callers and upstreams. Workers share no state with each other
// and communicate with the control task through messages.
#pragma once

#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/channel_pool.hpp"
#include "baobabloft/router/control_task.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/settings.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <thread>

namespace baobabloft::router
{

/// State shared by the sessions of one worker. Only the worker's thread
/// accesses it, except for requests_in_progress.
struct worker_context
{
    const settings& options;
    control_task& control;
    metrics& counters;
    net::event_loop loop{};
    callback_table callbacks{loop};
    http::channel_pool upstream_channels;
    published_state state{};
    std::mt19937_64 random{};
    std::atomic<std::size_t> requests_in_progress{0};
    /// See http::caller_table::record_received().
    std::function<void(std::size_t bytes)> record_received{};

    worker_context(const settings& shared_options, control_task& shared_control,
                   metrics& shared_counters);

    /// Returns true if this router is leaving the fleet.
    [[nodiscard]] bool is_leaving() const;
};

/// Serves callers on one thread.
class worker
{
public:
    worker(const settings& options, control_task& control, metrics& counters);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Binds the port and starts the thread. On failure returns false and sets
    /// `reason`.
    bool start(failure& reason);

    /// Reloads the TLS certificate and key from their files.
    void reload_certificate();

    /// Limits the deadlines of all requests; see
    /// http::caller_session::limit_deadline(). Times are of
    /// net::monotonic_now().
    void limit_deadlines(time_point last);

    /// Ends the thread and aborts requests in progress.
    void stop();

    [[nodiscard]] std::size_t requests_in_progress() const;

private:
    using caller_ptr = http::caller_table::caller_ptr;

    bool listen(failure& reason);
    bool load_certificate(failure& reason);
    void accept(std::shared_ptr<http::byte_stream> stream);
    /// Closes connections whose timeout has passed.
    void close_expired_connections();
    std::shared_ptr<http::caller_session> serve(const caller_ptr& caller,
                                                http::request&& message);
    /// Returns the response to a request that was rejected while it was read.
    http::response make_rejection_response(unsigned status);

    worker_context context_;
    http::tls_certificate certificate_;
    std::unique_ptr<http::tcp_listener> listener_;
    http::caller_table callers_;
    std::thread thread_;
};

} // namespace baobabloft::router
