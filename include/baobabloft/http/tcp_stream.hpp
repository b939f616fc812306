// A non-blocking TCP connection on an event loop. Its owner learns of bytes,
// of the end and of room for more, and knows how many bytes left the process.
// A listener accepts such connections, or TLS ones.
#pragma once

#include "baobabloft/http/byte_stream.hpp"
#include "baobabloft/http/tls_stream.hpp"
#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/endpoint.hpp"

#include <memory>
#include <optional>

namespace baobabloft::http
{

/// Options of a connection.
struct stream_options
{
    /// Longest time for which sent bytes may stay unacknowledged; also finds
    /// out connections that went silent.
    duration unacknowledged_timeout = 10s;
    /// Idle time after which a connection is probed, so that one that went
    /// silent while its peer owes an answer is found out; none if zero.
    duration probed_after{};
};

/// One TCP connection. Held by shared ownership while callbacks run.
class tcp_stream final : public byte_stream,
                         private net::fd_handler,
                         public std::enable_shared_from_this<tcp_stream>
{
public:
    /// Starts to connect. Returns null if the system gives no socket.
    static std::shared_ptr<tcp_stream> connect(net::event_loop& loop,
                                               const endpoint& peer,
                                               const stream_options& options);

    /// Takes over an accepted socket.
    static std::shared_ptr<tcp_stream> adopt(net::event_loop& loop, int fd,
                                             const stream_options& options);

    tcp_stream(net::event_loop& loop, int fd, bool connected);
    ~tcp_stream() override;

    void set_handlers(handlers callbacks) override;
    void send(std::string bytes) override;
    void set_reading(bool enabled) override;
    void close_when_drained() override;
    void close() override;
    void abort() override;
    [[nodiscard]] bool is_open() const override;
    [[nodiscard]] std::size_t unsent() const override;
    /// Returns the bytes that left the process.
    [[nodiscard]] std::uint64_t sent() const;

private:
    void on_ready(GIOCondition ready) override;
    void finish_connect();
    void read_available();
    /// Stops to watch an ended connection that is not read.
    void pause_watch();
    void write_queued();
    void update_interest();
    void end(stream_end how);

    net::event_loop& loop_;
    int fd_;
    bool connected_;
    bool reading_ = true;
    bool closing_ = false;
    /// A send failed; the end is reported from the loop.
    bool broken_ = false;
    /// Empty while the descriptor is not watched.
    std::optional<net::fd_poller::watch_id> watch_;
    handlers handlers_;
    std::string queue_;
    std::size_t queue_start_ = 0;
    std::uint64_t sent_ = 0;
};

/// Options of a listener.
struct listen_options
{
    stream_options stream;
    /// Other listeners of the process may bind the same address; the system
    /// spreads connections between them.
    bool shares_address = false;
    /// Certificate that connections present; without one they are plain. Must
    /// outlive the listener.
    const tls_certificate* certificate = nullptr;
};

/// Listens on an address and hands each accepted connection on.
class tcp_listener
{
public:
    using accept_callback = std::function<void(std::shared_ptr<byte_stream>)>;

    /// Returns null with the reason if the address cannot be bound.
    static std::unique_ptr<tcp_listener> open(net::event_loop& loop,
                                              const endpoint& address,
                                              const listen_options& options,
                                              accept_callback on_accept,
                                              failure& reason);

    tcp_listener(net::event_loop& loop, int fd, listen_options options,
                 accept_callback on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// Returns the port that is listened on, also if any was asked for by 0.
    [[nodiscard]] std::uint16_t port() const;

private:
    static gboolean on_ready(gint fd, GIOCondition condition, gpointer data);
    void accept_waiting();
    void adopt(int fd);

    net::event_loop& loop_;
    int fd_;
    listen_options options_;
    accept_callback on_accept_;
    GSource* source_ = nullptr;
};

} // namespace baobabloft::http
