// The open connections of callers to one router, each with the session of its
// current request.
#pragma once

#include "baobabloft/http/buffer_limit.hpp"
#include "baobabloft/http/caller_channel.hpp"

#include <unordered_map>
#include <vector>

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
    /// The request ends at `last` at the latest, with an answer if the caller
    /// has no part of one yet.
    virtual void limit_deadline(time_point now, time_point last) = 0;
    /// Returns the memory of what the session keeps of an upstream's response.
    [[nodiscard]] virtual buffer_holder held_response() const
    {
        return {};
    }
    /// Gives up the current attempt, since its response holds too much memory.
    virtual void release_response() {}
};

class caller_table
{
public:
    using caller_ptr = std::shared_ptr<caller_channel>;

    /// Default limit of the memory in the buffers of all connections, in bytes;
    /// well below the memory of the smallest hosts.
    static constexpr std::size_t default_buffer_limit =
        std::size_t{48} * 1024 * 1024;

    explicit caller_table(std::size_t buffer_limit = default_buffer_limit);

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

    /// Records that a session has received bytes that it may keep. If all
    /// buffers hold too much, gives up responses, possibly that of the session,
    /// or connections of callers that do not read.
    void record_received(std::size_t bytes);

    /// Closes connections whose timeouts have expired, and checks the limit of
    /// all buffers.
    void check_timeouts(time_point now);

    /// Closes the connections that carry no request.
    void close_idle(time_point now);

    /// Limits the deadlines of all current requests; see
    /// caller_session::limit_deadline().
    void limit_deadlines(time_point now, time_point last);

    /// Refuses the requests that have not arrived as a whole.
    void refuse_unfinished();

    /// Replaces the limits of all connections; see
    /// caller_channel::set_limits().
    void set_limits(const caller_limits& limits);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t size() const;

private:
    using session_ptr = std::weak_ptr<caller_session>;

    /// Returns the open connections. A call of one may remove it from the
    /// table.
    [[nodiscard]] std::vector<caller_ptr> open_callers() const;
    /// Gives up what holds most until all buffers are within the limit.
    void limit_buffers();
    /// Ends a connection and its request.
    void disconnect(const caller_ptr& channel);

    std::size_t buffer_limit_;
    /// Bytes received since the limit was last checked.
    std::size_t unchecked_bytes_ = 0;
    /// Each connection's session of the current request, shared with its
    /// callbacks.
    std::unordered_map<caller_ptr, std::shared_ptr<session_ptr>> callers_;
};

} // namespace baobabloft::http
