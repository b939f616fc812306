// Kept connections to upstreams, under each upstream's bound on connections.
#pragma once

#include "baobabloft/http/upstream_channel.hpp"

#include <map>
#include <vector>

namespace baobabloft::http
{

/// How a pool keeps and opens connections.
struct channel_pool_options
{
    stream_options stream;
    /// Idle time that upstreams grant if they announce none.
    duration default_idle_timeout = 500ms;
    /// Longest time that a connection is kept idle.
    duration max_idle_time = 8s;
};

/// Connections of one router to all upstreams, each named by an id.
class channel_pool
{
public:
    channel_pool(net::event_loop& loop, const channel_pool_options& options);

    /// Returns an idle connection that was used within `max_idle`, or a new
    /// one; null if the system gives no socket.
    std::shared_ptr<upstream_channel> acquire(time_point now,
                                              const std::string& id,
                                              const endpoint& address,
                                              duration max_idle);

    /// Keeps a connection that can carry another request. One whose answer has
    /// not ended is kept for it for a while.
    void release(time_point now, const std::string& id,
                 const std::shared_ptr<upstream_channel>& channel);

    /// Returns true if a request to an upstream finds a connection when
    /// `routers` share its bound of `max_connections`, 0 for none.
    [[nodiscard]] bool has_capacity(const std::string& id,
                                    std::uint32_t max_connections,
                                    std::size_t routers) const;

    /// Returns the open connections to an upstream, idle or not.
    [[nodiscard]] std::size_t open_count(const std::string& id) const;

    /// Closes connections that idle too long or whose upstream is not listed
    /// any more.
    void
    close_stale(time_point now,
                const std::function<bool(const std::string& id)>& is_listed);

    [[nodiscard]] std::uint64_t total_opened() const;

private:
    struct idle_channel
    {
        std::shared_ptr<upstream_channel> channel;
        time_point since;
    };

    struct upstream_channels
    {
        std::vector<idle_channel> idle;
        /// Answers that still have to end.
        std::vector<idle_channel> ending;
        std::vector<std::weak_ptr<upstream_channel>> open;
    };

    [[nodiscard]] duration usable_idle(const upstream_channel& channel) const;
    static void keep_ended(time_point now, upstream_channels& known);

    net::event_loop& loop_;
    channel_pool_options options_;
    std::map<std::string, upstream_channels> upstreams_;
    std::uint64_t opened_ = 0;
};

} // namespace baobabloft::http
