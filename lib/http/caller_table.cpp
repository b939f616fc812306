// Connects each caller's channel to the session of its current request.
#include "baobabloft/http/caller_table.hpp"

#include "baobabloft/net/event_loop.hpp"

#include <algorithm>

namespace baobabloft::http
{

namespace
{

/// The limit of all buffers is checked each time this much has been received.
constexpr std::size_t check_interval_bytes = std::size_t{1024} * 1024;

} // namespace

caller_table::caller_table(std::size_t buffer_limit)
    : buffer_limit_(buffer_limit)
{
}

void caller_table::accept(std::shared_ptr<byte_stream> stream,
                          const caller_limits& limits, handlers callbacks)
{
    const auto channel = std::make_shared<caller_channel>(
        std::move(stream), limits, net::boot_now());
    const std::weak_ptr<caller_channel> weak = channel;
    const auto session = std::make_shared<session_ptr>();
    callers_.emplace(channel, session);
    channel->start(
        {.on_request =
             [weak, session,
              serve = std::move(callbacks.on_request)](request&& message)
         {
             if (const auto caller = weak.lock())
                 *session = serve(caller, std::move(message));
         },
         .on_closed =
             [this, weak, session]
         {
             if (const auto current = session->lock())
                 current->on_caller_disconnected();
             callers_.erase(weak.lock());
         },
         .on_drained =
             [session]
         {
             if (const auto current = session->lock())
                 current->on_caller_drained();
         },
         .on_rejected = std::move(callbacks.on_rejected),
         .on_idle_timeout = std::move(callbacks.on_idle_timeout)});
}

void caller_table::check_timeouts(time_point now)
{
    for (const auto& channel : open_callers())
        if (!channel->check_timeouts(now))
            callers_.erase(channel);
    limit_buffers();
}

void caller_table::close_idle(time_point now)
{
    for (const auto& channel : open_callers())
        if (channel->close_if_idle(now))
            callers_.erase(channel);
}

void caller_table::limit_deadlines(time_point now, time_point last)
{
    for (const auto& channel : open_callers())
        if (const auto found = callers_.find(channel); found != callers_.end())
            if (const auto session = found->second->lock())
                session->limit_deadline(now, last);
}

void caller_table::refuse_unfinished()
{
    for (const auto& channel : open_callers())
        channel->refuse_unfinished();
}

void caller_table::record_received(std::size_t bytes)
{
    unchecked_bytes_ += bytes;
    if (unchecked_bytes_ >= check_interval_bytes)
        limit_buffers();
}

void caller_table::limit_buffers()
{
    unchecked_bytes_ = 0;
    std::size_t total = 0;
    for (const auto& [channel, current] : callers_)
    {
        total += channel->buffered_bytes();
        if (const auto session = current->lock())
            total += session->held_response().bytes;
    }
    if (total <= buffer_limit_)
        return;
    std::vector<buffer_holder> holders;
    std::vector<std::pair<caller_ptr, std::shared_ptr<caller_session>>> owners;
    holders.reserve(2 * callers_.size());
    owners.reserve(2 * callers_.size());
    for (const auto& [channel, current] : callers_)
    {
        holders.push_back({{}, channel->buffered_bytes()});
        owners.emplace_back(channel, nullptr);
        if (const auto session = current->lock())
        {
            holders.push_back(session->held_response());
            owners.emplace_back(channel, session);
        }
    }
    while (const auto index = holder_to_release(holders, buffer_limit_))
    {
        if (const auto& [channel, session] = owners[*index]; session)
            session->release_response();
        else
            disconnect(channel);
        holders[*index].bytes = 0;
    }
}

void caller_table::disconnect(const caller_ptr& channel)
{
    const auto found = callers_.find(channel);
    if (found == callers_.end())
        return;
    const auto session = found->second->lock();
    callers_.erase(found);
    channel->abort();
    if (session)
        session->on_caller_disconnected();
}

std::vector<caller_table::caller_ptr> caller_table::open_callers() const
{
    std::vector<caller_ptr> result(callers_.size());
    std::transform(callers_.begin(), callers_.end(), result.begin(),
                   [](const auto& item) { return item.first; });
    return result;
}

void caller_table::set_limits(const caller_limits& limits)
{
    for (const auto& channel : open_callers())
        channel->set_limits(limits);
}

std::size_t caller_table::size() const
{
    return callers_.size();
}

} // namespace baobabloft::http
