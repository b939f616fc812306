// Shared HTTP server of the stand-ins, on the default GLib main context.
#include "standins.hpp"

#include <iostream>

namespace baobabloft::standins
{

namespace
{

struct delayed_response
{
    SoupServerMessage* message;
    unsigned status;
    nlohmann::json body;
};

gboolean send_delayed_response(gpointer data)
{
    const std::unique_ptr<delayed_response> response{
        static_cast<delayed_response*>(data)};
    respond(response->message, response->status, response->body);
    soup_server_message_unpause(response->message);
    g_object_unref(response->message);
    return G_SOURCE_REMOVE;
}

void handle_message(SoupServer* /*server*/, SoupServerMessage* message,
                    const char* path, GHashTable* /*query*/, gpointer data)
{
    auto* body = soup_server_message_get_request_body(message);
    GBytes* bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const auto* start =
        static_cast<const char*>(g_bytes_get_data(bytes, &size));
    request received{.message = message,
                     .method = soup_server_message_get_method(message),
                     .path = path,
                     .body =
                         size != 0 ? std::string{start, size} : std::string{}};
    g_bytes_unref(bytes);
    (*static_cast<handler*>(data))(received);
}

} // namespace

nlohmann::json request::json() const
{
    auto root = nlohmann::json::parse(body, nullptr, false);
    return root.is_object() ? root : nlohmann::json::object();
}

std::string request::header(const char* name) const
{
    const auto* value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value != nullptr ? value : "";
}

int serve(std::uint16_t port, handler handle)
{
    SoupServer* server = soup_server_new("server-header", "standin", nullptr);
    soup_server_add_handler(server, nullptr, handle_message, &handle, nullptr);
    GError* error = nullptr;
    if (soup_server_listen_local(server, port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                 &error) == FALSE)
    {
        std::cerr << "cannot listen on port " << port << ": " << error->message
                  << '\n';
        g_error_free(error);
        return 1;
    }
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop);
    return 0;
}

void respond(SoupServerMessage* message, unsigned status,
             const nlohmann::json& body)
{
    const auto text = body.dump();
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, text.data(),
                                     text.size());
}

void respond_later(SoupServerMessage* message, unsigned delay_ms,
                   unsigned status, const nlohmann::json& body)
{
    if (delay_ms == 0)
    {
        respond(message, status, body);
        return;
    }
    soup_server_message_pause(message);
    g_object_ref(message);
    g_timeout_add(delay_ms, send_delayed_response,
                  new delayed_response{message, status, body});
}

void close_without_response(SoupServerMessage* message)
{
    soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                   nullptr);
    g_socket_close(soup_server_message_get_socket(message), nullptr);
}

std::int64_t monotonic_ms()
{
    return g_get_monotonic_time() / 1000;
}

} // namespace baobabloft::standins
