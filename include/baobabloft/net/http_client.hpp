// Whole-reply HTTP requests over libsoup, for the platform's services, load
// reports and operators' commands. Streams to callers do not pass through it.
#pragma once

#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/failure.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <optional>
#include <string>
#include <vector>

namespace baobabloft::net
{

/// One header field.
struct http_header
{
    std::string name;
    std::string value;
};

/// A request with its whole body.
struct http_request
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
    /// Bound on the whole exchange.
    duration timeout = 2s;
};

/// A whole reply.
struct http_response
{
    unsigned status = 0;
    std::string body;
};

/// A SoupSession for the thread whose context is the default when it is made.
class http_client
{
public:
    using callback =
        std::function<void(std::optional<http_response>, const failure&)>;

    http_client();

    /// Sends `request`; `done` runs once on this thread, with nothing and the
    /// reason if no reply came in time.
    void send(const http_request& request, callback done);

    /// Returns the session, for streaming uses.
    [[nodiscard]] SoupSession* session() const;

private:
    object_ptr<SoupSession> session_;
};

/// Returns a session without the features that a proxy must not have
/// (decoding of bodies, authentication), with wide connection limits.
object_ptr<SoupSession> make_soup_session(duration idle_timeout);

} // namespace baobabloft::net
