#include "baobabloft/net/fd_poller.hpp"

#include <array>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace baobabloft::net
{

namespace
{

/// Descriptors handled in one turn of the loop, so that its timers and
/// messages get their turn.
constexpr int ready_per_turn = 64;

// The conditions of GLib have the values of poll(), as those of epoll have.
static_assert(static_cast<unsigned>(G_IO_IN) == EPOLLIN &&
              static_cast<unsigned>(G_IO_OUT) == EPOLLOUT &&
              static_cast<unsigned>(G_IO_ERR) == EPOLLERR &&
              static_cast<unsigned>(G_IO_HUP) == EPOLLHUP);

} // namespace

fd_poller::fd_poller(GMainContext* context)
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      source_(g_unix_fd_source_new(epoll_, G_IO_IN))
{
    // The cast is how GLib hands typed callbacks over.
    g_source_set_callback(source_, G_SOURCE_FUNC(on_readable), this, nullptr);
    g_source_attach(source_, context);
}

fd_poller::~fd_poller()
{
    g_source_destroy(source_);
    g_source_unref(source_);
    ::close(epoll_);
}

fd_poller::watch_id fd_poller::watch(int fd, GIOCondition wanted,
                                     fd_handler& handler)
{
    const auto number = ++last_;
    watched_.emplace(number, watched_fd{fd, &handler});
    epoll_event event{.events = static_cast<std::uint32_t>(wanted),
                      .data = {.u64 = number}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return number;
}

void fd_poller::set_conditions(watch_id watched, GIOCondition wanted)
{
    const auto found = watched_.find(watched);
    if (found == watched_.end())
        return;
    epoll_event event{.events = static_cast<std::uint32_t>(wanted),
                      .data = {.u64 = watched}};
    epoll_ctl(epoll_, EPOLL_CTL_MOD, found->second.fd, &event);
}

void fd_poller::unwatch(watch_id watched)
{
    const auto found = watched_.find(watched);
    if (found == watched_.end())
        return;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second.fd, nullptr);
    watched_.erase(found);
}

gboolean fd_poller::on_readable(gint /*fd*/, GIOCondition /*condition*/,
                                gpointer data)
{
    static_cast<fd_poller*>(data)->dispatch();
    return G_SOURCE_CONTINUE;
}

void fd_poller::dispatch()
{
    std::array<epoll_event, ready_per_turn> ready{};
    const int count = epoll_wait(epoll_, ready.data(), ready_per_turn, 0);
    for (int index = 0; index < count; ++index)
    {
        const auto& event = ready.at(static_cast<std::size_t>(index));
        // A handler before this one may have ended the watch.
        const auto found = watched_.find(event.data.u64);
        if (found != watched_.end())
            found->second.handler->on_ready(
                static_cast<GIOCondition>(event.events));
    }
}

} // namespace baobabloft::net
