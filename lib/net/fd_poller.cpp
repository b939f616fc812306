#include "baobabloft/net/fd_poller.hpp"

#include <array>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace baobabloft::net
{

namespace
{

/// Most descriptors handled in one iteration of the loop. The limit lets timers
/// and posted tasks run in between.
constexpr int max_events_per_dispatch = 64;

// GLib and epoll both use the values of the poll() conditions, so that
// conditions pass between them unconverted.
static_assert(static_cast<unsigned>(G_IO_IN) == EPOLLIN &&
              static_cast<unsigned>(G_IO_OUT) == EPOLLOUT &&
              static_cast<unsigned>(G_IO_ERR) == EPOLLERR &&
              static_cast<unsigned>(G_IO_HUP) == EPOLLHUP);

} // namespace

fd_poller::fd_poller(GMainContext* context)
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      source_(g_unix_fd_source_new(epoll_fd_, G_IO_IN))
{
    // GLib casts the callback back to the callback type of the descriptor
    // source.
    g_source_set_callback(source_, G_SOURCE_FUNC(on_epoll_readable), this,
                          nullptr);
    g_source_attach(source_, context);
}

fd_poller::~fd_poller()
{
    g_source_destroy(source_);
    g_source_unref(source_);
    ::close(epoll_fd_);
}

fd_poller::watch_id fd_poller::watch(int fd, GIOCondition conditions,
                                     fd_handler& handler)
{
    const auto id = ++last_id_;
    watches_.emplace(id, watched_fd{fd, &handler});
    epoll_event event{.events = static_cast<std::uint32_t>(conditions),
                      .data = {.u64 = id}};
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
    return id;
}

void fd_poller::set_conditions(watch_id id, GIOCondition conditions)
{
    const auto found = watches_.find(id);
    if (found == watches_.end())
        return;
    epoll_event event{.events = static_cast<std::uint32_t>(conditions),
                      .data = {.u64 = id}};
    epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, found->second.fd, &event);
}

void fd_poller::unwatch(watch_id id)
{
    const auto found = watches_.find(id);
    if (found == watches_.end())
        return;
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, found->second.fd, nullptr);
    watches_.erase(found);
}

gboolean fd_poller::on_epoll_readable(gint /*fd*/, GIOCondition /*condition*/,
                                      gpointer data)
{
    static_cast<fd_poller*>(data)->dispatch();
    return G_SOURCE_CONTINUE;
}

void fd_poller::dispatch()
{
    std::array<epoll_event, max_events_per_dispatch> ready{};
    const int count =
        epoll_wait(epoll_fd_, ready.data(), max_events_per_dispatch, 0);
    for (int index = 0; index < count; ++index)
    {
        const auto& event = ready.at(static_cast<std::size_t>(index));
        // A handler that ran earlier in this loop may have ended the watch.
        const auto found = watches_.find(event.data.u64);
        if (found != watches_.end())
            found->second.handler->on_ready(
                static_cast<GIOCondition>(event.events));
    }
}

} // namespace baobabloft::net
