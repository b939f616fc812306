// Splits a stream of server-sent events into complete events, so that a broken
// stream can be resumed after the last event that the caller received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// One complete event.
struct sse_event
{
    /// Bytes of the event, including the blank line at its end; valid until
    /// bytes are added to the splitter or it is cleared.
    std::string_view bytes;
    /// Number in the id field, if present.
    std::optional<std::uint64_t> id;
    /// True if it has an id or data; others, such as comments, only show that
    /// the connection is alive.
    bool has_content = false;
    /// True if it consists of comments and reconnection times only, which a
    /// stream may bring between its numbered events.
    bool is_comment = false;
    /// True for the end marker "data: [DONE]" of a chat's stream.
    bool is_end = false;
};

/// Collects bytes of a stream and extracts complete events.
class sse_splitter
{
public:
    /// Appends received bytes.
    void add(std::string_view bytes);

    /// Removes and returns the next complete event, if there is one.
    std::optional<sse_event> next();

    /// Discards all bytes.
    void clear();

    /// Returns the number of bytes not yet returned as events.
    [[nodiscard]] std::size_t buffered_bytes() const;
    /// Returns the memory that the splitter holds, in bytes.
    [[nodiscard]] std::size_t capacity() const;

private:
    /// Bytes not yet returned, from start_ on. There is no end of an event
    /// before searched_.
    std::string buffer_;
    std::size_t start_ = 0;
    std::size_t searched_ = 0;
};

} // namespace baobabloft::router
