#include "baobabloft/router/sse.hpp"

#include <algorithm>
#include <charconv>

namespace baobabloft::router
{

namespace
{

std::optional<std::uint64_t> find_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t start = 0;
    while (start < event.size())
    {
        auto line = event.substr(start, event.find('\n', start) - start);
        start += line.size() + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [end, error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{})
            return id;
    }
    return std::nullopt;
}

bool is_comment(std::string_view event)
{
    while (!event.empty())
    {
        const auto line = event.substr(0, event.find('\n'));
        if (!line.empty() && !line.starts_with(':') &&
            !line.starts_with("retry:"))
            return false;
        event.remove_prefix(std::min(line.size() + 1, event.size()));
    }
    return true;
}

bool has_data(std::string_view event)
{
    return event.starts_with("data") ||
           event.find("\ndata") != std::string_view::npos;
}

} // namespace

void sse_splitter::add(std::string_view bytes)
{
    buffer_.erase(0, start_);
    searched_ -= start_;
    start_ = 0;
    buffer_ += bytes;
}

std::optional<sse_event> sse_splitter::next()
{
    constexpr std::string_view separator = "\n\n";
    const std::string_view buffer{buffer_};
    const auto end = buffer.find(separator, searched_);
    if (end == std::string_view::npos)
    {
        // The last byte may be the first one of a separator.
        searched_ = std::max(start_, buffer.size() - (buffer.empty() ? 0 : 1));
        return std::nullopt;
    }
    sse_event event;
    event.bytes = buffer.substr(start_, end + separator.size() - start_);
    start_ = end + separator.size();
    searched_ = start_;
    event.is_comment = is_comment(event.bytes);
    if (event.is_comment)
        return event;
    event.id = find_id(event.bytes);
    event.has_content = event.id || has_data(event.bytes);
    event.is_end = event.bytes.find("data: [DONE]") != std::string_view::npos &&
                   event.bytes.find('{') == std::string_view::npos;
    return event;
}

void sse_splitter::clear()
{
    *this = {};
}

std::size_t sse_splitter::buffered_bytes() const
{
    return buffer_.size() - start_;
}

std::size_t sse_splitter::capacity() const
{
    return buffer_.capacity();
}

} // namespace baobabloft::router
