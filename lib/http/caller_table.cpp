// Connects each caller's channel to the session of its current request.
#include "baobabloft/http/caller_table.hpp"

#include "baobabloft/net/event_loop.hpp"

#include <vector>

namespace baobabloft::http
{

void caller_table::accept(std::shared_ptr<byte_stream> stream,
                          const caller_limits& limits, handlers callbacks)
{
    const auto channel = std::make_shared<caller_channel>(
        std::move(stream), limits, net::boot_now());
    callers_.insert(channel);
    const std::weak_ptr<caller_channel> weak = channel;
    // The session of the current request, shared by the callbacks.
    const auto session = std::make_shared<std::weak_ptr<caller_session>>();
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
    // Closing a connection may remove it from the table, so iterate over a
    // copy.
    const std::vector<caller_ptr> all(callers_.begin(), callers_.end());
    for (const auto& channel : all)
        if (!channel->check_timeouts(now))
            callers_.erase(channel);
}

void caller_table::close_idle(time_point now)
{
    const std::vector<caller_ptr> all(callers_.begin(), callers_.end());
    for (const auto& channel : all)
        if (channel->close_if_idle(now))
            callers_.erase(channel);
}

void caller_table::set_limits(const caller_limits& limits)
{
    for (const auto& channel : callers_)
        channel->set_limits(limits);
}

std::size_t caller_table::size() const
{
    return callers_.size();
}

} // namespace baobabloft::http
