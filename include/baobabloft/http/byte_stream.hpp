// A connection that carries bytes both ways, whatever protects them. Its owner
// learns of bytes, of the end and of room for more.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace baobabloft::http
{

/// Why a connection ended.
enum class stream_end_reason : std::uint8_t
{
    connect_failed,
    /// The peer sent its last byte in order.
    peer_closed,
    reset
};

/// One connection.
class byte_stream
{
public:
    /// What the owner is told. on_end runs at most once and never after
    /// close() or abort().
    struct handlers
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;
        std::function<void(stream_end_reason)> on_end;
        /// Everything handed to send() has left.
        std::function<void()> on_drained;
    };

    byte_stream() = default;
    virtual ~byte_stream() = default;
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;

    virtual void set_handlers(handlers callbacks) = 0;

    /// Queues `bytes`, and sends what the system takes at once.
    virtual void send(std::string bytes) = 0;

    /// Stops or resumes reading, for back-pressure.
    virtual void set_reading(bool enabled) = 0;

    /// Closes in order once everything queued has left; on_drained tells.
    virtual void close_when_drained() = 0;
    /// Closes at once; the peer sees the end in order unless bytes of it wait
    /// unread here.
    virtual void close() = 0;
    /// Closes at once with a reset, so that the peer cannot take what it got
    /// for complete.
    virtual void abort() = 0;

    [[nodiscard]] virtual bool is_open() const = 0;
    /// Returns the bytes that wait to be sent.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

} // namespace baobabloft::http
