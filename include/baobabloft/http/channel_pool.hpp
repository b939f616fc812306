// A pool of reusable connections to upstreams, within each upstream's limit on
// connections.
#pragma once

#include "baobabloft/http/upstream_channel.hpp"

#include <map>
#include <vector>

namespace baobabloft::http
{

/// Options for opening and keeping connections.
struct channel_pool_options
{
    stream_options stream;
    /// Idle timeout assumed for upstreams that announce none.
    duration default_idle_timeout = 500ms;
    /// Longest time for which a connection is kept idle.
    duration max_idle_time = 8s;
};

/// Connections of one router to all upstreams, by upstream id.
class channel_pool
{
public:
    channel_pool(net::event_loop& loop, const channel_pool_options& options);

    /// Returns a connection that has been idle for less than `max_idle` and has
    /// not carried a request with the id `request_id`, or opens a new one.
    /// Returns null if no socket can be created or the connect fails at once.
    std::shared_ptr<upstream_channel>
    acquire(time_point now, const std::string& id, const endpoint& address,
            duration max_idle, std::string_view request_id = {});

    /// Returns a connection to the pool if it can carry another request. If its
    /// response has begun but not ended, the rest of the response is read and
    /// discarded first, within a time limit. Otherwise closes the connection.
    void release(time_point now, const std::string& id,
                 const std::shared_ptr<upstream_channel>& channel);

    /// Returns true if an idle connection to the upstream exists or another may
    /// be opened. `max_connections` is the upstream's limit, shared by
    /// `routers` routers; 0 means no limit.
    [[nodiscard]] bool has_capacity(const std::string& id,
                                    std::uint32_t max_connections,
                                    std::size_t routers) const;

    /// Returns the number of open connections to an upstream, idle or in use.
    [[nodiscard]] std::size_t open_count(const std::string& id) const;

    /// Closes idle connections that have been idle for too long or whose
    /// upstream is no longer listed, and connections whose discarded response
    /// takes too long.
    void
    close_stale(time_point now,
                const std::function<bool(const std::string& id)>& is_listed);

    /// Returns the number of connections opened since construction.
    [[nodiscard]] std::uint64_t total_opened() const;

private:
    struct pooled_channel
    {
        std::shared_ptr<upstream_channel> channel;
        /// When the channel entered its current list.
        time_point added_at;
    };

    struct upstream_channels
    {
        std::vector<pooled_channel> idle;
        /// Released connections whose response is still being discarded.
        std::vector<pooled_channel> discarding;
        /// All open connections, including those in use; may hold expired or
        /// closed ones until they are next erased.
        std::vector<std::weak_ptr<upstream_channel>> open;
    };

    /// Returns the idle time up to which a connection may be reused.
    [[nodiscard]] duration
    usable_idle_time(const upstream_channel& channel) const;
    /// Removes the most recently used of the idle connections that acquire()
    /// may return, and closes those that are no longer usable. Returns null if
    /// there is none.
    std::shared_ptr<upstream_channel>
    take_idle(time_point now, std::vector<pooled_channel>& idle,
              duration max_idle, std::string_view request_id) const;
    /// Makes connections idle whose discarded response has ended, and closes
    /// those whose response takes too long.
    static void collect_discarded(time_point now, upstream_channels& channels);

    net::event_loop& loop_;
    channel_pool_options options_;
    std::map<std::string, upstream_channels> upstreams_;
    std::uint64_t total_opened_ = 0;
};

} // namespace baobabloft::http
