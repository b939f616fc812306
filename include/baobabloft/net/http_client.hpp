// HTTP requests with complete responses over libsoup, for the platform's
// services, load reports and operators' commands. Streamed responses to callers
// do not pass through this client.
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

/// A request with its complete body.
struct http_request
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
    /// Limit for the complete exchange, from sending to the last byte of the
    /// response.
    duration timeout = 2s;
};

/// A complete response.
struct http_response
{
    unsigned status = 0;
    std::string body;
};

/// Sends requests through a SoupSession, which belongs to the thread-default
/// main context at construction. Use it only on that thread.
class http_client
{
public:
    using callback =
        std::function<void(std::optional<http_response>, const failure&)>;

    http_client();

    /// Sends `request`. Calls `done` once on this thread: with the response, or
    /// with nothing and the reason if the request failed or timed out.
    void send(const http_request& request, callback done);

    /// Returns the session, for requests whose responses are streamed.
    [[nodiscard]] SoupSession* session() const;

private:
    object_ptr<SoupSession> session_;
};

/// Returns a session with high connection limits and without the features that
/// a proxy must not have: content decoding and authentication. Connections idle
/// for `idle_timeout`, in whole seconds, are closed.
object_ptr<SoupSession> make_soup_session(duration idle_timeout);

} // namespace baobabloft::net
