// The open connections of callers to one router, each with the session of its
// current request.
#pragma once

#include "baobabloft/http/caller_channel.hpp"

#include <unordered_set>

namespace baobabloft::http
{

/// Serves one request and receives events of its caller's connection.
class caller_session
{
public:
    caller_session() = default;
    virtual ~caller_session() = default;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// The caller's connection has ended.
    virtual void on_caller_disconnected() = 0;
    /// The system has accepted all bytes written to the caller.
    virtual void on_caller_drained() = 0;
};

class caller_table
{
public:
    using caller_ptr = std::shared_ptr<caller_channel>;

    /// Callbacks for requests.
    struct handlers
    {
        /// Serves a request and returns its session, or null if the response
        /// was sent at once. The table does not keep the session alive.
        std::function<std::shared_ptr<caller_session>(const caller_ptr&,
                                                      request&&)>
            on_request;
        /// See caller_channel::handlers.
        std::function<response(unsigned status, std::string_view reason)>
            on_rejected;
        /// See caller_channel::handlers.
        std::function<void(const idle_end&)> on_idle_timeout{};
    };

    /// Adds a connection and serves its requests. Objects that `callbacks`
    /// refer to must outlive the table.
    void accept(std::shared_ptr<byte_stream> stream,
                const caller_limits& limits, handlers callbacks);

    /// Closes connections whose timeouts have expired.
    void check_timeouts(time_point now);

    /// Closes the connections that carry no request.
    void close_idle(time_point now);

    /// Replaces the limits of all connections; see
    /// caller_channel::set_limits().
    void set_limits(const caller_limits& limits);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_set<caller_ptr> callers_;
};

} // namespace baobabloft::http
