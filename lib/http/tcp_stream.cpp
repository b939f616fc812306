// Implements TCP connections and the listener on non-blocking sockets.
#include "baobabloft/http/tcp_stream.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace baobabloft::http
{

namespace
{

/// Largest read in bytes.
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Reads of one connection per event, so that one peer cannot starve others.
constexpr int reads_per_event = 4;
/// Longest time for which the peer of a closed connection may go on sending.
constexpr duration discard_time = 1s;
/// Connections accepted per event.
constexpr int accepts_per_event = 64;
constexpr int listen_backlog = 4096;
/// Interval and number of keepalive probes after which an unresponsive
/// connection is closed.
constexpr int probe_interval_s = 2;
constexpr int probe_count = 3;

sockaddr_in to_sockaddr(const endpoint& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(parse_ipv4(address.host).value_or(0));
    return result;
}

void set_option(int fd, int level, int name, int value)
{
    // Failures are ignored: a missing option affects latency or detection time
    // only, not correctness.
    [[maybe_unused]] const int ignored =
        setsockopt(fd, level, name, &value, sizeof value);
}

void apply_options(int fd, const stream_options& options)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(options.unacknowledged_timeout / 1ms));
    if (options.keepalive_idle_time == duration{})
        return;
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
               static_cast<int>(options.keepalive_idle_time / 1s));
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

int open_socket()
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/// Returns true if the peer has not acknowledged all that the system has
/// accepted. Bytes that arrive after the peer has closed cause a reset.
bool has_unacknowledged_bytes(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool has_pending_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
           error != 0;
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/// Shuts down the sending side of a connection and discards what the peer
/// sends, until it closes its side or discard_time has passed.
class discarding_close final : private net::fd_handler
{
public:
    discarding_close(net::event_loop& loop, int fd) : loop_(loop), fd_(fd)
    {
        [[maybe_unused]] const int ignored = shutdown(fd_, SHUT_WR);
        watch_ = loop_.poller().watch(fd_, G_IO_IN, *this);
    }

    ~discarding_close()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }

    discarding_close(const discarding_close&) = delete;
    discarding_close& operator=(const discarding_close&) = delete;

    void finish()
    {
        if (fd_ < 0)
            return;
        loop_.poller().unwatch(watch_);
        ::close(fd_);
        fd_ = -1;
    }

private:
    void on_ready(GIOCondition /*ready*/) override
    {
        static thread_local std::array<char, read_size> buffer;
        for (int reads = 0; reads < reads_per_event; ++reads)
        {
            const auto size =
                recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size > 0)
                continue;
            if (size == 0 || !would_block(errno))
                finish();
            return;
        }
    }

    net::event_loop& loop_;
    int fd_;
    net::fd_poller::watch_id watch_{};
};

} // namespace

std::shared_ptr<tcp_stream> tcp_stream::connect(net::event_loop& loop,
                                                const endpoint& peer,
                                                const stream_options& options)
{
    const int fd = open_socket();
    if (fd < 0)
        return nullptr;
    apply_options(fd, options);
    const auto address = to_sockaddr(peer);
    const int result = ::connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS)
    {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<tcp_stream>(loop, fd, false);
}

std::shared_ptr<tcp_stream> tcp_stream::adopt(net::event_loop& loop, int fd,
                                              const stream_options& options)
{
    apply_options(fd, options);
    return std::make_shared<tcp_stream>(loop, fd, true);
}

tcp_stream::tcp_stream(net::event_loop& loop, int fd, bool connected)
    : loop_(loop), fd_(fd), connected_(connected)
{
    update_interest();
}

tcp_stream::~tcp_stream()
{
    close();
}

void tcp_stream::set_handlers(handlers callbacks)
{
    handlers_ = std::move(callbacks);
}

void tcp_stream::send(std::string bytes)
{
    if (fd_ < 0 || bytes.empty())
        return;
    queue_.append(std::move(bytes));
    if (connected_)
        write_queued();
}

void tcp_stream::set_reading(bool enabled)
{
    if (reading_ == enabled)
        return;
    reading_ = enabled;
    update_interest();
}

void tcp_stream::close_when_drained()
{
    closing_ = true;
    if (unsent_bytes() == 0)
        finish_close();
}

void tcp_stream::discard_and_close_when_drained()
{
    discards_input_ = true;
    close_when_drained();
}

void tcp_stream::finish_close()
{
    if (!discards_input_ || fd_ < 0)
    {
        close();
        return;
    }
    if (watch_)
        loop_.poller().unwatch(*watch_);
    watch_.reset();
    // The timer owns it.
    const auto closing =
        std::make_shared<discarding_close>(loop_, std::exchange(fd_, -1));
    loop_.run_after(discard_time, [closing] { closing->finish(); });
}

void tcp_stream::close()
{
    if (fd_ < 0)
        return;
    if (watch_)
        loop_.poller().unwatch(*watch_);
    watch_.reset();
    ::close(fd_);
    fd_ = -1;
    queue_.clear();
}

void tcp_stream::shut_down()
{
    queue_.clear();
    discards_input_ = true;
    finish_close();
}

void tcp_stream::abort()
{
    if (fd_ < 0)
        return;
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    [[maybe_unused]] const int ignored = setsockopt(
        fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
}

bool tcp_stream::is_open() const
{
    return fd_ >= 0;
}

bool tcp_stream::has_unread_bytes() const
{
    char byte = 0;
    return fd_ >= 0 && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::size_t tcp_stream::queue_capacity() const
{
    return queue_.capacity();
}

std::size_t tcp_stream::unsent_bytes() const
{
    return queue_.size();
}

std::uint64_t tcp_stream::sent_bytes() const
{
    return sent_bytes_;
}

void tcp_stream::on_ready(GIOCondition ready)
{
    const auto self = shared_from_this();
    if (!connected_)
    {
        finish_connect();
        return;
    }
    if (!send_failed_ && (ready & (G_IO_OUT | G_IO_ERR)) != 0)
        write_queued();
    if (send_failed_)
    {
        close_and_report(stream_end_reason::reset);
        return;
    }
    if (fd_ < 0 || (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR)) == 0)
        return;
    if (reading_)
        read_available();
    else
        stop_watching();
}

void tcp_stream::stop_watching()
{
    // Otherwise the poller would report the end on every iteration of the loop.
    // update_interest() watches the descriptor again once reading resumes.
    if (unsent_bytes() > 0 || !watch_)
        return;
    loop_.poller().unwatch(*watch_);
    watch_.reset();
}

void tcp_stream::finish_connect()
{
    if (has_pending_error(fd_))
    {
        close_and_report(stream_end_reason::connect_failed);
        return;
    }
    connected_ = true;
    update_interest();
    if (handlers_.on_connected)
        handlers_.on_connected();
    if (fd_ >= 0)
        write_queued();
}

void tcp_stream::read_available()
{
    static thread_local std::array<char, read_size> buffer;
    for (int reads = 0; reads < reads_per_event && fd_ >= 0 && reading_;
         ++reads)
    {
        const auto size = recv(fd_, buffer.data(), buffer.size(), 0);
        if (size > 0)
        {
            const auto count = static_cast<std::size_t>(size);
            if (handlers_.on_data)
                handlers_.on_data({buffer.data(), count});
            if (count < buffer.size())
                return;
            continue;
        }
        if (size == 0)
        {
            // A reset behind the end is not reported by recv().
            const bool is_broken = unsent_bytes() > 0 ||
                                   has_unacknowledged_bytes(fd_) ||
                                   has_pending_error(fd_);
            close_and_report(is_broken ? stream_end_reason::reset
                                       : stream_end_reason::peer_closed);
            return;
        }
        if (!would_block(errno))
            close_and_report(stream_end_reason::reset);
        return;
    }
}

void tcp_stream::write_queued()
{
    bool wrote = false;
    while (fd_ >= 0 && unsent_bytes() > 0)
    {
        const auto size =
            ::send(fd_, queue_.data(), unsent_bytes(), MSG_NOSIGNAL);
        if (size < 0)
        {
            if (would_block(errno))
                break;
            // The event loop reports the end later, so that on_end does not
            // run inside send().
            send_failed_ = true;
            queue_.clear();
            update_interest();
            return;
        }
        wrote = true;
        sent_bytes_ += static_cast<std::uint64_t>(size);
        queue_.consume(static_cast<std::size_t>(size));
    }
    if (fd_ < 0)
        return;
    if (unsent_bytes() == 0)
    {
        queue_.clear();
        if (closing_)
            finish_close();
    }
    update_interest();
    if (wrote && unsent_bytes() == 0 && handlers_.on_drained)
    {
        const auto self = weak_from_this().lock();
        handlers_.on_drained();
    }
}

void tcp_stream::update_interest()
{
    if (fd_ < 0)
        return;
    unsigned events = 0;
    if (!connected_ || send_failed_ || unsent_bytes() > 0)
        events |= G_IO_OUT;
    if (connected_ && reading_)
        events |= G_IO_IN;
    const auto condition = static_cast<GIOCondition>(events);
    if (watch_)
        loop_.poller().set_conditions(*watch_, condition);
    else
        watch_ = loop_.poller().watch(fd_, condition, *this);
}

void tcp_stream::close_and_report(stream_end_reason reason)
{
    const auto self = shared_from_this();
    close();
    const auto on_end = std::move(handlers_.on_end);
    handlers_ = {};
    if (on_end)
        on_end(reason);
}

std::unique_ptr<tcp_listener> tcp_listener::open(net::event_loop& loop,
                                                 const endpoint& address,
                                                 const listen_options& options,
                                                 accept_callback on_accept,
                                                 failure& reason)
{
    const int fd = open_socket();
    const auto bound = to_sockaddr(address);
    if (fd >= 0)
        set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (fd >= 0 && options.reuse_port)
        set_option(fd, SOL_SOCKET, SO_REUSEPORT, 1);
    if (fd >= 0 &&
        bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) ==
            0 &&
        listen(fd, listen_backlog) == 0)
        return std::make_unique<tcp_listener>(loop, fd, options,
                                              std::move(on_accept));
    reason = {failure_kind::io,
              "cannot listen on " + to_string(address) + ": " +
                  std::strerror(errno),
              "choose a free listen address of this host"};
    if (fd >= 0)
        ::close(fd);
    return nullptr;
}

tcp_listener::tcp_listener(net::event_loop& loop, int fd,
                           listen_options options, accept_callback on_accept)
    : loop_(loop), fd_(fd), options_(options), on_accept_(std::move(on_accept))
{
    source_ = g_unix_fd_source_new(fd_, G_IO_IN);
    // GLib requires this cast for callbacks of specific source types.
    g_source_set_callback(source_, G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(source_, loop_.context());
}

tcp_listener::~tcp_listener()
{
    g_source_destroy(source_);
    g_source_unref(source_);
    ::close(fd_);
}

gboolean tcp_listener::on_ready(gint /*fd*/, GIOCondition /*condition*/,
                                gpointer data)
{
    static_cast<tcp_listener*>(data)->accept_pending();
    return G_SOURCE_CONTINUE;
}

void tcp_listener::accept_pending()
{
    for (int accepts = 0; accepts < accepts_per_event; ++accepts)
    {
        const int fd =
            accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        adopt(fd);
    }
}

std::uint16_t tcp_listener::port() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
        return 0;
    return ntohs(bound.sin_port);
}

void tcp_listener::adopt(int fd)
{
    if (options_.certificate == nullptr)
    {
        on_accept_(tcp_stream::adopt(loop_, fd, options_.stream));
        return;
    }
    apply_options(fd, options_.stream);
    if (auto stream = tls_stream::accept(loop_, fd, *options_.certificate))
        on_accept_(std::move(stream));
}

} // namespace baobabloft::http
