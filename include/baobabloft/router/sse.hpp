// Splits a server-sent event stream into whole events, so that a stream that
// breaks can be resumed behind the last event that the caller got.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// One whole event.
struct sse_event
{
    /// The event's bytes, blank line included.
    std::string bytes;
    /// The number in its id field, if it has one.
    std::optional<std::uint64_t> id;
    /// True for "data: [DONE]", which ends a chat's stream.
    bool is_end = false;
};

/// Takes bytes in and gives whole events out.
class sse_splitter
{
public:
    /// Adds bytes as they arrived.
    void add(std::string_view bytes);

    /// Returns the next whole event, if there is one.
    std::optional<sse_event> next();

    /// Returns the number of bytes that wait for the rest of their event.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    std::string buffer_;
};

} // namespace baobabloft::router
