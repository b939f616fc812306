// Interface of a bidirectional byte connection, plain or encrypted. Events are
// reported to handlers: received bytes, the end, and an emptied send queue.
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
    /// The peer closed its sending side after its last byte, and has received
    /// all that was sent.
    peer_closed,
    /// The connection was reset or failed, for example in the TLS handshake, or
    /// the peer ended it before it had received all that was sent.
    reset
};

class byte_stream
{
public:
    /// Callbacks for events of the connection. on_end runs at most once and
    /// never after close() or abort().
    struct handlers
    {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_data;
        std::function<void(stream_end_reason)> on_end;
        /// The system has accepted all bytes passed to send().
        std::function<void()> on_drained;
    };

    byte_stream() = default;
    virtual ~byte_stream() = default;
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;

    virtual void set_handlers(handlers callbacks) = 0;

    /// Queues `bytes` for sending; may pass some to the system before it
    /// returns.
    virtual void send(std::string bytes) = 0;

    /// Resumes or pauses reading, for back-pressure.
    virtual void set_reading(bool enabled) = 0;

    /// Closes in an orderly way once the send queue is empty. If bytes are
    /// queued, on_drained runs after the close.
    virtual void close_when_drained() = 0;
    /// Like close_when_drained(), but where possible accepts and discards what
    /// the peer still sends, for a bounded time: a reset could make the peer
    /// lose the last bytes sent to it.
    virtual void discard_and_close_when_drained()
    {
        close_when_drained();
    }
    /// Closes immediately. The peer sees an orderly end, or a reset if bytes
    /// that it sent have not been read.
    virtual void close() = 0;
    /// Closes immediately. Where possible the peer sees an orderly end even if
    /// it is still sending: that is discarded, for a bounded time.
    virtual void shut_down()
    {
        close();
    }
    /// Closes immediately and without an orderly end, so that the peer does not
    /// take the bytes received so far for a complete message.
    virtual void abort() = 0;

    [[nodiscard]] virtual bool is_open() const = 0;
    /// Returns the number of queued bytes that the system has not accepted yet.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
    /// Returns the memory that these bytes hold.
    [[nodiscard]] virtual std::size_t queue_capacity() const = 0;
    /// Returns true if the system is known to hold bytes that have not been
    /// read.
    [[nodiscard]] virtual bool has_unread_bytes() const
    {
        return false;
    }
};

} // namespace baobabloft::http
