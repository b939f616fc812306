// A non-blocking TCP connection on an event loop. Its owner learns of bytes,
// of the end and of room for more, and knows how many bytes left the process.
#pragma once

#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace baobabloft::http
{

/// Why a connection ended.
enum class stream_end : std::uint8_t
{
    connect_failed,
    /// The peer sent its last byte in order.
    peer_closed,
    reset
};

/// Options of a connection.
struct stream_options
{
    /// Longest time for which sent bytes may stay unacknowledged; also finds
    /// out connections that went silent.
    duration unacknowledged_timeout = 10s;
};

/// One TCP connection. Held by shared ownership while callbacks run.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    /// What the owner is told. on_end runs at most once and never after
    /// close() or abort().
    struct handlers
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;
        std::function<void(stream_end)> on_end;
        /// Everything handed to send() has left.
        std::function<void()> on_drained;
    };

    /// Starts to connect. Returns null if the system gives no socket.
    static std::shared_ptr<tcp_stream> connect(net::event_loop& loop,
                                               const endpoint& peer,
                                               const stream_options& options);

    /// Takes over an accepted socket.
    static std::shared_ptr<tcp_stream> adopt(net::event_loop& loop, int fd,
                                             const stream_options& options);

    tcp_stream(net::event_loop& loop, int fd, bool connected);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void set_handlers(handlers callbacks);

    /// Queues `bytes`, and sends what the system takes at once.
    void send(std::string bytes);

    /// Stops or resumes reading, for back-pressure.
    void set_reading(bool enabled);

    /// Closes in order once everything queued has left.
    void close_when_drained();
    /// Closes at once; the peer sees the end in order unless bytes of it wait
    /// unread here.
    void close();
    /// Closes at once with a reset, so that the peer cannot take what it got
    /// for complete.
    void abort();

    [[nodiscard]] bool is_open() const;
    /// Returns the bytes that wait to be sent.
    [[nodiscard]] std::size_t unsent() const;
    /// Returns the bytes that left the process.
    [[nodiscard]] std::uint64_t sent() const;

private:
    friend gboolean dispatch_stream(GSource*, GSourceFunc, gpointer);

    void on_ready(GIOCondition ready);
    void finish_connect();
    void read_available();
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
    GSource* source_ = nullptr;
    gpointer tag_ = nullptr;
    handlers handlers_;
    std::string queue_;
    std::size_t queue_start_ = 0;
    std::uint64_t sent_ = 0;
};

/// Listens on an address and hands each accepted connection on.
class tcp_listener
{
public:
    using accept_callback = std::function<void(std::shared_ptr<tcp_stream>)>;

    /// Returns null with the reason if the address cannot be bound.
    static std::unique_ptr<tcp_listener> open(net::event_loop& loop,
                                              const endpoint& address,
                                              const stream_options& options,
                                              accept_callback on_accept,
                                              failure& reason);

    tcp_listener(net::event_loop& loop, int fd, stream_options options,
                 accept_callback on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

private:
    static gboolean on_ready(gint fd, GIOCondition condition, gpointer data);
    void accept_waiting();

    net::event_loop& loop_;
    int fd_;
    stream_options options_;
    accept_callback on_accept_;
    GSource* source_ = nullptr;
};

} // namespace baobabloft::http
