#include "baobabloft/router/worker.hpp"

#include "baobabloft/router/log.hpp"
#include "baobabloft/router/proxy_session.hpp"
#include "baobabloft/support/hash.hpp"

#include <netinet/in.h>
#include <sodium.h>
#include <sys/socket.h>

namespace baobabloft::router
{

namespace
{

constexpr int listen_backlog = 4096;
constexpr duration upstream_idle_timeout = 30s;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

void respond(SoupServerMessage* message, unsigned status, const char* type,
             const std::string& body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY,
                                     body.data(), body.size());
}

void respond_refusal(worker_context& context, SoupServerMessage* message,
                     refusal_kind kind)
{
    context.counters.refused(kind);
    respond(message, row_of(kind).status, "application/problem+json",
            problem_json(kind, executed::no, ""));
}

/// Cuts a body without a declared length once it grows past the limit.
void on_body_chunk(SoupServerMessage* message, GBytes* /*chunk*/, gpointer data)
{
    auto* context = static_cast<worker_context*>(data);
    auto* body = soup_server_message_get_request_body(message);
    if (static_cast<std::size_t>(body->length) <=
        context->options.max_body_bytes)
        return;
    soup_message_body_set_accumulate(body, FALSE);
    if (soup_server_message_get_status(message) == 0)
        respond_refusal(*context, message, refusal_kind::body_too_large);
}

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

} // namespace

worker::worker(const settings& options, control_task& control,
               metrics& counters)
    : context_{.options = options, .control = control, .counters = counters}
{
    context_.random.seed(random_seed());
}

worker::~worker()
{
    stop();
}

bool worker::start(failure& reason)
{
    if (!prepare(reason))
        return false;
    // The thread takes the loop's context over, so this one must have let go
    // of it.
    thread_ = std::thread{[this]
                          {
                              context_.loop.run();
                          }};
    return true;
}

bool worker::prepare(failure& reason)
{
    const net::event_loop::scope own{context_.loop};
    context_.upstreams = net::make_session(upstream_idle_timeout);
    server_.reset(soup_server_new("server-header", "baobabd", nullptr));
    if (!load_certificate(reason) || !listen(reason))
        return false;
    add_handlers();
    context_.control.subscribe(context_.loop,
                               [this](const published_state& state)
                               { context_.state = state; });
    return true;
}

void worker::reload_certificate()
{
    context_.loop.post(
        [this]
        {
            failure reason;
            if (!load_certificate(reason))
                log_event(log_level::error, "certificate_rejected",
                          {{"reason", reason.text()}});
            else
                log_event(log_level::info, "certificate_loaded");
        });
}

void worker::stop()
{
    if (!thread_.joinable())
        return;
    context_.loop.stop();
    thread_.join();
    const net::event_loop::scope own{context_.loop};
    soup_server_disconnect(server_.get());
    server_.reset();
    context_.upstreams.reset();
}

std::size_t worker::in_progress() const
{
    return context_.in_progress;
}

bool worker::listen(failure& reason)
{
    const auto& address = context_.options.listen;
    GError* raw_error = nullptr;
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port);
    bound.sin_addr.s_addr = htonl(parse_ipv4(address.host).value_or(0));
    net::object_ptr<GSocket> socket{
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, &raw_error)};
    const auto tls = context_.options.tls_certificate.empty()
                         ? SoupServerListenOptions{}
                         : SOUP_SERVER_LISTEN_HTTPS;
    bool listening = false;
    if (socket)
    {
        g_socket_set_listen_backlog(socket.get(), listen_backlog);
        // Every worker listens on the same port, and the kernel spreads
        // connections between them.
        // GLib's own bind would switch the option off again.
        const int fd = g_socket_get_fd(socket.get());
        g_socket_set_option(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
        g_socket_set_option(socket.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
        listening = bind(fd, reinterpret_cast<const sockaddr*>(&bound),
                         sizeof bound) == 0 &&
                    g_socket_listen(socket.get(), &raw_error) != FALSE &&
                    soup_server_listen_socket(server_.get(), socket.get(), tls,
                                              &raw_error) != FALSE;
    }
    const net::error_ptr error{raw_error};
    if (!listening)
        reason = {failure_kind::io,
                  "cannot listen on " + address.host + ":" +
                      std::to_string(address.port) +
                      (error ? std::string{": "} + error->message : ""),
                  "choose a free listen address of this host"};
    return listening;
}

bool worker::load_certificate(failure& reason)
{
    const auto& options = context_.options;
    if (options.tls_certificate.empty())
        return true;
    GError* raw_error = nullptr;
    const net::object_ptr<GTlsCertificate> certificate{
        g_tls_certificate_new_from_files(options.tls_certificate.c_str(),
                                         options.tls_key.c_str(), &raw_error)};
    const net::error_ptr error{raw_error};
    if (!certificate)
    {
        reason = {failure_kind::invalid_setting,
                  std::string{"cannot read the certificate: "} + error->message,
                  "check tls-certificate and tls-key"};
        return false;
    }
    soup_server_set_tls_certificate(server_.get(), certificate.get());
    return true;
}

void worker::add_handlers()
{
    auto* server = server_.get();
    soup_server_add_early_handler(server, nullptr, on_early, this, nullptr);
    soup_server_add_handler(server, nullptr, on_request, this, nullptr);
    for (const auto* path : {"/healthz", "/readyz", "/metrics", "/status",
                             "/burn", "/control/preset"})
        soup_server_add_handler(server, path, on_page, this, nullptr);
}

void worker::on_early(SoupServer* /*server*/, SoupServerMessage* message,
                      const char* /*path*/, GHashTable* /*query*/,
                      gpointer data)
{
    auto& context = static_cast<worker*>(data)->context_;
    auto* headers = soup_server_message_get_request_headers(message);
    const auto length = soup_message_headers_get_content_length(headers);
    if (length > 0 &&
        static_cast<std::size_t>(length) > context.options.max_body_bytes)
    {
        respond_refusal(context, message, refusal_kind::body_too_large);
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_body_chunk), &context);
}

void worker::on_request(SoupServer* /*server*/, SoupServerMessage* message,
                        const char* /*path*/, GHashTable* /*query*/,
                        gpointer data)
{
    proxy_session::start(static_cast<worker*>(data)->context_, message);
}

void worker::on_page(SoupServer* /*server*/, SoupServerMessage* message,
                     const char* path, GHashTable* /*query*/, gpointer data)
{
    static_cast<worker*>(data)->serve_page(message, path);
}

void worker::serve_page(SoupServerMessage* message, std::string_view path)
{
    constexpr const char* text_type = "text/plain; charset=utf-8";
    if (path == "/healthz")
    {
        respond(message, status_ok, text_type, "ok\n");
        return;
    }
    if (path == "/readyz")
    {
        const auto readiness = context_.state.readiness;
        const bool ready = readiness == fleet::readiness::ready;
        respond(message, ready ? status_ok : status_unavailable, text_type,
                std::string{name_in(fleet::readiness_names, readiness)} + "\n");
        return;
    }
    auto which = control_task::page::status;
    if (path == "/control/preset")
    {
        const auto* mac = soup_message_headers_get_one(
            soup_server_message_get_request_headers(message), "X-Fleet-Mac");
        if (mac == nullptr ||
            !context_.control.verify_peer("GET /control/preset", mac))
        {
            respond_refusal(context_, message, refusal_kind::not_allowed);
            return;
        }
        which = control_task::page::preset_envelope;
    }
    else if (!is_operator(message))
    {
        respond_refusal(context_, message, refusal_kind::not_allowed);
        return;
    }
    else if (path == "/metrics")
    {
        respond(message, status_ok, "text/plain; version=0.0.4",
                context_.counters.text());
        return;
    }
    else if (path == "/burn")
        which = control_task::page::burn;
    else if (path != "/status")
    {
        respond_refusal(context_, message, refusal_kind::unknown_path);
        return;
    }
    soup_server_message_pause(message);
    g_object_ref(message);
    context_.control.render(
        context_.loop, which,
        [message](const std::string& text)
        {
            const net::object_ptr<SoupServerMessage> kept{message};
            respond(message, status_ok, "application/json", text);
            soup_server_message_unpause(message);
        });
}

bool worker::is_operator(SoupServerMessage* message) const
{
    const auto& token = context_.options.operator_token;
    if (token.empty())
        return true;
    const auto* header = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Authorization");
    const auto expected = "Bearer " + token;
    return header != nullptr &&
           std::string_view{header}.size() == expected.size() &&
           sodium_memcmp(header, expected.data(), expected.size()) == 0;
}

} // namespace baobabloft::router
