// Bytes that wait to be sent on one connection.
#pragma once

#include <cstddef>
#include <string>

namespace baobabloft::http
{

/// Keeps no memory for bytes that were sent, beyond a small reserve.
class send_queue
{
public:
    void append(std::string bytes);

    /// Removes the first `count` bytes.
    void consume(std::size_t count);

    void clear();

    [[nodiscard]] const char* data() const;
    [[nodiscard]] std::size_t size() const;
    /// Returns the memory that the queue holds, in bytes.
    [[nodiscard]] std::size_t capacity() const;

private:
    /// Bytes to send, from offset_ on.
    std::string bytes_;
    std::size_t offset_ = 0;
};

} // namespace baobabloft::http
