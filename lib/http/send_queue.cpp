#include "baobabloft/http/send_queue.hpp"

#include <utility>

namespace baobabloft::http
{

namespace
{

/// Memory that an empty queue may keep.
constexpr std::size_t max_reserve = std::size_t{64} * 1024;

} // namespace

void send_queue::append(std::string bytes)
{
    if (size() == 0)
    {
        offset_ = 0;
        bytes_ = std::move(bytes);
    }
    else
        bytes_ += bytes;
}

void send_queue::consume(std::size_t count)
{
    offset_ += count;
    if (size() == 0)
        clear();
    // The rest is moved only after at least as much has been sent.
    else if (offset_ > max_reserve && offset_ >= size())
    {
        bytes_ = bytes_.substr(offset_);
        offset_ = 0;
    }
}

void send_queue::clear()
{
    offset_ = 0;
    if (bytes_.capacity() > max_reserve)
        bytes_ = {};
    else
        bytes_.clear();
}

const char* send_queue::data() const
{
    return bytes_.data() + offset_;
}

std::size_t send_queue::size() const
{
    return bytes_.size() - offset_;
}

std::size_t send_queue::capacity() const
{
    return bytes_.capacity();
}

} // namespace baobabloft::http
