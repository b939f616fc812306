// The open connections of callers to one router, each with the session of its
// present request.
#pragma once

#include "baobabloft/http/caller_channel.hpp"

#include <unordered_set>

namespace baobabloft::http
{

/// Serves one request; told what becomes of its caller.
class caller_session
{
public:
    caller_session() = default;
    virtual ~caller_session() = default;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// The caller went away.
    virtual void on_caller_disconnected() = 0;
    /// Everything sent to the caller has left.
    virtual void on_caller_drained() = 0;
};

/// Connections of callers.
class caller_table
{
public:
    using caller_ptr = std::shared_ptr<caller_channel>;

    /// What is done with requests.
    struct handlers
    {
        /// Serves a request. The session keeps itself alive; null if the
        /// request was answered at once.
        std::function<std::shared_ptr<caller_session>(const caller_ptr&,
                                                      request&&)>
            on_request;
        /// See caller_channel.
        std::function<response(unsigned status, std::string_view why)>
            on_rejected;
    };

    /// Serves the requests of a new connection. What `callbacks` refer to must
    /// outlive the table.
    void accept(std::shared_ptr<byte_stream> stream,
                const caller_limits& limits, handlers callbacks);

    /// Ends connections that idle or stall too long.
    void check_timeouts(time_point now);

    /// Closes the connections that carry no request.
    void close_idle();

    /// Applies changed limits to later requests.
    void set_limits(const caller_limits& limits);

    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_set<caller_ptr> callers_;
};

} // namespace baobabloft::http
