// Readiness notification for many file descriptors on one event loop. GLib
// checks every source on each iteration of the loop; the poller adds only a
// single source, an epoll descriptor, and takes time only for ready
// descriptors.
#pragma once

#include <cstdint>
#include <glib.h>
#include <unordered_map>

namespace baobabloft::net
{

/// Handles readiness of a watched descriptor.
class fd_handler
{
public:
    /// Called with the conditions that the descriptor meets.
    virtual void on_ready(GIOCondition ready) = 0;

protected:
    ~fd_handler() = default;
};

/// Watches descriptors on one main context. Use it only on the context's
/// thread.
class fd_poller
{
public:
    using watch_id = std::uint64_t;

    explicit fd_poller(GMainContext* context);
    ~fd_poller();
    fd_poller(const fd_poller&) = delete;
    fd_poller& operator=(const fd_poller&) = delete;

    /// Calls `handler` whenever `fd` meets one of `conditions`, until
    /// unwatch(). Errors and hang-ups are always reported. Returns the id of
    /// the watch, for the functions below.
    watch_id watch(int fd, GIOCondition conditions, fd_handler& handler);
    /// Replaces the conditions of a watch.
    void set_conditions(watch_id id, GIOCondition conditions);
    /// Ends a watch. Its handler is not called any more, even if the descriptor
    /// is already known to be ready.
    void unwatch(watch_id id);

private:
    struct watched_fd
    {
        int fd;
        fd_handler* handler;
    };

    static gboolean on_epoll_readable(gint fd, GIOCondition condition,
                                      gpointer data);
    void dispatch();

    int epoll_fd_;
    GSource* source_;
    watch_id last_id_ = 0;
    std::unordered_map<watch_id, watched_fd> watches_;
};

} // namespace baobabloft::net
