// A non-blocking TCP connection on an event loop that counts the bytes it has
// passed to the system, and a listener that accepts plain or TLS connections.
#pragma once

#include "baobabloft/http/byte_stream.hpp"
#include "baobabloft/http/send_queue.hpp"
#include "baobabloft/http/tls_stream.hpp"
#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/endpoint.hpp"

#include <memory>
#include <optional>

namespace baobabloft::http
{

/// Options of a TCP connection.
struct stream_options
{
    /// Longest time for which sent bytes may stay unacknowledged
    /// (TCP_USER_TIMEOUT). Also detects unresponsive peers.
    duration unacknowledged_timeout = 10s;
    /// Idle time after which keepalive probes are sent, so that a peer that
    /// becomes unresponsive before it sends a response is detected. Zero
    /// disables keepalive. Resolution is one second.
    duration keepalive_idle_time{};
};

/// One TCP connection. Holds a shared pointer to itself while callbacks run.
class tcp_stream final : public byte_stream,
                         private net::fd_handler,
                         public std::enable_shared_from_this<tcp_stream>
{
public:
    /// Starts to connect. Returns null if no socket can be created or the
    /// connect fails at once.
    static std::shared_ptr<tcp_stream> connect(net::event_loop& loop,
                                               const endpoint& peer,
                                               const stream_options& options);

    /// Takes ownership of a connected socket.
    static std::shared_ptr<tcp_stream> adopt(net::event_loop& loop, int fd,
                                             const stream_options& options);

    tcp_stream(net::event_loop& loop, int fd, bool connected);
    ~tcp_stream() override;

    void set_handlers(handlers callbacks) override;
    void send(std::string bytes) override;
    void set_reading(bool enabled) override;
    void close_when_drained() override;
    void discard_and_close_when_drained() override;
    void close() override;
    void shut_down() override;
    void abort() override;
    [[nodiscard]] bool is_open() const override;
    [[nodiscard]] std::size_t unsent_bytes() const override;
    [[nodiscard]] std::size_t queue_capacity() const override;
    [[nodiscard]] bool has_unread_bytes() const override;
    /// Returns the number of bytes that the system has accepted since the
    /// connection was created.
    [[nodiscard]] std::uint64_t sent_bytes() const;

private:
    void on_ready(GIOCondition ready) override;
    void finish_connect();
    void read_available();
    /// Stops watching the descriptor of a connection that has ended while
    /// reading is paused.
    void stop_watching();
    void write_queued();
    void update_interest();
    /// Closes the connection, or leaves it to a discarding_close.
    void finish_close();
    /// Closes the connection and runs on_end.
    void close_and_report(stream_end_reason reason);

    net::event_loop& loop_;
    int fd_;
    bool connected_;
    bool reading_ = true;
    /// Close once the queue is empty.
    bool closing_ = false;
    /// Discard what the peer sends after the close.
    bool discards_input_ = false;
    /// A send failed; the event loop reports the end later.
    bool send_failed_ = false;
    /// Empty while the descriptor is not watched.
    std::optional<net::fd_poller::watch_id> watch_;
    handlers handlers_;
    send_queue queue_;
    std::uint64_t sent_bytes_ = 0;
};

/// Options of a TCP listener.
struct listen_options
{
    stream_options stream;
    /// Lets other listeners of the process bind the same address
    /// (SO_REUSEPORT); the system distributes connections between them.
    bool reuse_port = false;
    /// Certificate that TLS connections present; null for plain TCP. Must
    /// outlive the listener.
    const tls_certificate* certificate = nullptr;
};

/// Listens on an address and passes each accepted connection to a callback.
class tcp_listener
{
public:
    using accept_callback = std::function<void(std::shared_ptr<byte_stream>)>;

    /// Returns null and sets `reason` if the address cannot be bound.
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

    /// Returns the port listened on, which the system chose if port 0 was
    /// requested. Returns 0 if the port cannot be read.
    [[nodiscard]] std::uint16_t port() const;

private:
    static gboolean on_ready(gint fd, GIOCondition condition, gpointer data);
    void accept_pending();
    void adopt(int fd);

    net::event_loop& loop_;
    int fd_;
    listen_options options_;
    accept_callback on_accept_;
    GSource* source_ = nullptr;
};

} // namespace baobabloft::http
