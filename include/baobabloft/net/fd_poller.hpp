// Readiness of many file descriptors on one event loop. The loop's own poll
// looks at each source on every turn; this one costs it a single source and
// time only for descriptors that are ready.
#pragma once

#include <cstdint>
#include <glib.h>
#include <unordered_map>

namespace baobabloft::net
{

/// Told when its descriptor is ready.
class fd_handler
{
public:
    virtual void on_ready(GIOCondition ready) = 0;

protected:
    ~fd_handler() = default;
};

/// Descriptors watched on one main context; only for its thread.
class fd_poller
{
public:
    using watch_id = std::uint64_t;

    explicit fd_poller(GMainContext* context);
    ~fd_poller();
    fd_poller(const fd_poller&) = delete;
    fd_poller& operator=(const fd_poller&) = delete;

    /// Watches `fd` until unwatch(). Errors and hang-ups are told in any case.
    /// Returns a number for the calls below.
    watch_id watch(int fd, GIOCondition wanted, fd_handler& handler);
    void set_conditions(watch_id watched, GIOCondition wanted);
    /// `handler` is not called any more, even if it was ready already.
    void unwatch(watch_id watched);

private:
    struct watched_fd
    {
        int fd;
        fd_handler* handler;
    };

    static gboolean on_readable(gint fd, GIOCondition condition, gpointer data);
    void dispatch();

    int epoll_;
    GSource* source_;
    watch_id last_ = 0;
    std::unordered_map<watch_id, watched_fd> watched_;
};

} // namespace baobabloft::net
