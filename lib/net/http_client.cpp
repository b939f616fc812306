#include "baobabloft/net/http_client.hpp"

namespace baobabloft::net
{

namespace
{

constexpr int max_connections = 65536;
constexpr guint io_timeout_s = 60;

/// A request in progress. Owned by its asynchronous operation, whose completion
/// callback on_read() deletes it.
struct exchange
{
    object_ptr<SoupMessage> message;
    object_ptr<GCancellable> cancellable{g_cancellable_new()};
    GSource* timer = nullptr;
    bool timed_out = false;
    http_client::callback done;
};

gboolean on_timeout(gpointer data)
{
    auto* self = static_cast<exchange*>(data);
    self->timed_out = true;
    g_cancellable_cancel(self->cancellable.get());
    return G_SOURCE_REMOVE;
}

failure failure_of(const exchange& self, const GError* error)
{
    if (self.timed_out)
        return {failure_kind::io, "no response within the timeout",
                "check that a service responds at the address"};
    return {failure_kind::io, error->message,
            "check that the address is correct and the service is running"};
}

void on_read(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<exchange> self{static_cast<exchange*>(data)};
    g_source_destroy(self->timer);
    g_source_unref(self->timer);
    GError* raw_error = nullptr;
    const bytes_ptr bytes{soup_session_send_and_read_finish(
        SOUP_SESSION(source), result, &raw_error)};
    const error_ptr error{raw_error};
    if (!bytes)
    {
        self->done(std::nullopt, failure_of(*self, error.get()));
        return;
    }
    gsize size = 0;
    const auto* body_start =
        static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    http_response response{soup_message_get_status(self->message.get()), {}};
    if (size != 0)
        response.body.assign(body_start, size);
    self->done(std::move(response), {});
}

} // namespace

object_ptr<SoupSession> make_soup_session(duration idle_timeout)
{
    const auto idle_s = static_cast<guint>(to_seconds(idle_timeout));
    object_ptr<SoupSession> session{soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host", max_connections,
        "idle-timeout", idle_s, "timeout", io_timeout_s, nullptr)};
    soup_session_remove_feature_by_type(session.get(),
                                        SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
    return session;
}

http_client::http_client() : session_(make_soup_session(30s)) {}

SoupSession* http_client::session() const
{
    return session_.get();
}

void http_client::send(const http_request& request, callback done)
{
    auto self = std::make_unique<exchange>();
    self->done = std::move(done);
    self->message.reset(
        soup_message_new(request.method.c_str(), request.url.c_str()));
    if (!self->message)
    {
        self->done(std::nullopt,
                   {failure_kind::invalid_setting, "not a URL: " + request.url,
                    "use the form http://host:port"});
        return;
    }
    auto* headers = soup_message_get_request_headers(self->message.get());
    for (const auto& [name, value] : request.headers)
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    if (!request.body.empty())
    {
        const bytes_ptr body{
            g_bytes_new(request.body.data(), request.body.size())};
        soup_message_set_request_body_from_bytes(
            self->message.get(), request.content_type.c_str(), body.get());
    }
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout);
    self->timer = g_timeout_source_new(static_cast<guint>(ms.count()));
    g_source_set_callback(self->timer, on_timeout, self.get(), nullptr);
    g_source_attach(self->timer, g_main_context_get_thread_default());
    auto* message = self->message.get();
    auto* cancellable = self->cancellable.get();
    soup_session_send_and_read_async(session_.get(), message,
                                     G_PRIORITY_DEFAULT, cancellable, on_read,
                                     self.release());
}

} // namespace baobabloft::net
