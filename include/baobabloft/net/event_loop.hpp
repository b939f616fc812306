// One GLib main context with its loop. A task owns one event loop, its sockets
// and its state; other threads reach it only by post().
#pragma once

#include "baobabloft/net/fd_poller.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>

namespace baobabloft::net
{

/// Deleter that drops one reference of a GObject.
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

/// Deleter for GBytes.
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

    /// Runs until stop(); must be called on the thread that owns the loop.
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

    /// Queues `work` to run on the loop's thread; may be called from any
    /// thread. Calls from one thread run in order.
    void post(task work);

    /// Runs `work` once after `delay`; only on the loop's own thread.
    /// Returns the source's number, for cancel().
    guint run_after(duration delay, task work);

    /// Runs `work` every `period` until the loop ends; own thread only.
    void run_every(duration period, task work);

    /// Cancels a timer that has not fired yet; 0 stands for none.
    void cancel_timer(guint source);

    /// Watches descriptors; own thread only.
    fd_poller& poller();

    /// Returns the context, to attach sources to.
    [[nodiscard]] GMainContext* context() const;

    /// Makes this loop's context the thread's default while it lives.
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
    /// Made with the first descriptor.
    std::unique_ptr<fd_poller> poller_;
};

/// Returns the present by the monotonic clock.
time_point monotonic_now();

/// Returns the present by a clock that also counts while the host is
/// suspended, for ages of beliefs and for deadlines.
time_point boot_now();

} // namespace baobabloft::net
