// A GLib main context and its loop. Each thread owns one event loop with the
// sockets and the state used on it; other threads pass work to it only through
// post().
#pragma once

#include "baobabloft/net/fd_poller.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>

namespace baobabloft::net
{

/// Deleter that releases one reference to a GObject.
struct object_unref
{
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
};

/// Owning pointer to a GObject.
template <typename Object>
using object_ptr = std::unique_ptr<Object, object_unref>;

/// Deleter that releases one reference to a GBytes.
struct bytes_unref
{
    void operator()(GBytes* bytes) const
    {
        g_bytes_unref(bytes);
    }
};

using bytes_ptr = std::unique_ptr<GBytes, bytes_unref>;

/// Deleter for GError.
struct error_free
{
    void operator()(GError* error) const
    {
        g_error_free(error);
    }
};

using error_ptr = std::unique_ptr<GError, error_free>;

/// A main context and the loop that runs it.
class event_loop
{
public:
    using task = std::function<void()>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs the loop until stop(). Must be called on the loop's own thread.
    void run();

    /// Makes run() return. May be called from any thread.
    void stop();

    /// Queues `work` to run on the loop's thread. May be called from any
    /// thread; tasks posted by one thread run in the order of the calls.
    void post(task work);

    /// Runs `work` once after `delay`, which is rounded down to milliseconds.
    /// Call it only on the loop's own thread. Returns the id of the timer's
    /// source, for cancel_timer().
    guint run_after(duration delay, task work);

    /// Runs `work` every `period` until the loop is destroyed. Call it only on
    /// the loop's own thread.
    void run_every(duration period, task work);

    /// Cancels a timer that has not fired yet. Does nothing if `source_id` is 0
    /// (no timer).
    void cancel_timer(guint source_id);

    /// Returns the poller for file descriptors on this loop. Use it only on the
    /// loop's own thread.
    fd_poller& poller();

    /// Returns the main context, for attaching other GLib sources.
    [[nodiscard]] GMainContext* context() const;

    /// Makes the loop's context the thread-default main context during the
    /// lifetime of the object.
    class default_context_scope
    {
    public:
        explicit default_context_scope(const event_loop& loop);
        ~default_context_scope();
        default_context_scope(const default_context_scope&) = delete;
        default_context_scope& operator=(const default_context_scope&) = delete;

    private:
        GMainContext* context_;
    };

private:
    guint attach(GSource* source, task work);

    GMainContext* context_;
    GMainLoop* loop_;
    /// Created by the first call of poller().
    std::unique_ptr<fd_poller> poller_;
};

/// Returns the current time of the monotonic clock.
time_point monotonic_now();

/// Returns the current time of a clock that also advances while the host is
/// suspended. Used for confirmation ages of known state and for deadlines.
time_point boot_now();

} // namespace baobabloft::net
