// Implements server-side TLS connections with GIO's non-blocking streams.
#include "baobabloft/http/tls_stream.hpp"

#include <algorithm>
#include <array>
#include <unistd.h>
#include <utility>

namespace baobabloft::http
{

namespace
{

/// Largest read in bytes.
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Reads of one connection per event, so that one peer cannot starve others.
constexpr int reads_per_event = 4;
/// Largest write in bytes; a TLS record holds no more.
constexpr std::size_t write_size = std::size_t{16} * 1024;
/// Longest time for a handshake; equals the router's timeout for a request
/// header.
constexpr duration handshake_timeout = 10s;

bool would_block(const GError* error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

/// Refers an asynchronous handshake to its stream, which may be destroyed
/// before the handshake completes.
struct handshake_operation
{
    std::weak_ptr<tls_stream> stream;
};

void destroy_source(GSource*& source)
{
    if (source == nullptr)
        return;
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
}

} // namespace

bool tls_certificate::load(const std::string& certificate_file,
                           const std::string& key_file, failure& reason)
{
    GError* raw_error = nullptr;
    net::object_ptr<GTlsCertificate> loaded{g_tls_certificate_new_from_files(
        certificate_file.c_str(), key_file.c_str(), &raw_error)};
    const net::error_ptr error{raw_error};
    if (!loaded)
    {
        reason = {failure_kind::invalid_setting,
                  std::string{"cannot read the certificate: "} + error->message,
                  "check tls-certificate and tls-key"};
        return false;
    }
    certificate_ = std::move(loaded);
    return true;
}

GTlsCertificate* tls_certificate::get() const
{
    return certificate_.get();
}

std::shared_ptr<tls_stream>
tls_stream::accept(net::event_loop& loop, int fd,
                   const tls_certificate& certificate)
{
    const net::object_ptr<GSocket> socket{g_socket_new_from_fd(fd, nullptr)};
    if (!socket)
    {
        ::close(fd);
        return nullptr;
    }
    g_socket_set_blocking(socket.get(), FALSE);
    const net::object_ptr<GSocketConnection> base{
        g_socket_connection_factory_create_connection(socket.get())};
    GIOStream* secured = g_tls_server_connection_new(
        G_IO_STREAM(base.get()), certificate.get(), nullptr);
    if (secured == nullptr)
        return nullptr;
    auto stream =
        std::make_shared<tls_stream>(loop, net::object_ptr<GIOStream>{secured});
    stream->begin_handshake();
    return stream;
}

tls_stream::tls_stream(net::event_loop& loop,
                       net::object_ptr<GIOStream> connection)
    : loop_(loop), connection_(std::move(connection)),
      cancellable_(g_cancellable_new())
{
}

tls_stream::~tls_stream()
{
    close();
}

void tls_stream::set_handlers(handlers callbacks)
{
    handlers_ = std::move(callbacks);
}

void tls_stream::begin_handshake()
{
    const net::event_loop::default_context_scope loop_scope{loop_};
    const std::weak_ptr<tls_stream> weak = weak_from_this();
    handshake_timer_ =
        loop_.run_after(handshake_timeout,
                        [weak]
                        {
                            const auto self = weak.lock();
                            if (!self)
                                return;
                            self->handshake_timer_ = 0;
                            self->close_and_report(stream_end_reason::reset);
                        });
    g_tls_connection_handshake_async(
        G_TLS_CONNECTION(connection_.get()), G_PRIORITY_DEFAULT,
        cancellable_.get(), on_handshake_done, new handshake_operation{weak});
}

void tls_stream::on_handshake_done(GObject* source, GAsyncResult* result,
                                   gpointer data)
{
    const std::unique_ptr<handshake_operation> operation{
        static_cast<handshake_operation*>(data)};
    const bool succeeded =
        g_tls_connection_handshake_finish(G_TLS_CONNECTION(source), result,
                                          nullptr) != FALSE;
    if (const auto self = operation->stream.lock())
        self->finish_handshake(succeeded);
}

void tls_stream::finish_handshake(bool succeeded)
{
    if (!open_)
        return;
    loop_.cancel_timer(std::exchange(handshake_timer_, 0));
    if (!succeeded)
    {
        close_and_report(stream_end_reason::reset);
        return;
    }
    handshake_done_ = true;
    if (handlers_.on_connected)
        handlers_.on_connected();
    watch_input();
    watch_output();
}

void tls_stream::send(std::string bytes)
{
    if (!open_ || bytes.empty())
        return;
    queue_.append(std::move(bytes));
    watch_output();
}

void tls_stream::set_reading(bool enabled)
{
    reading_ = enabled;
    if (enabled)
        watch_input();
    else
        destroy_source(input_source_);
}

void tls_stream::watch_input()
{
    if (!open_ || !handshake_done_ || !reading_ || input_source_ != nullptr)
        return;
    input_source_ = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(
            g_io_stream_get_input_stream(connection_.get())),
        nullptr);
    g_source_set_callback(input_source_, G_SOURCE_FUNC(on_readable), this,
                          nullptr);
    g_source_attach(input_source_, loop_.context());
}

void tls_stream::watch_output()
{
    if (!open_ || !handshake_done_ || unsent_bytes() == 0 ||
        output_source_ != nullptr)
        return;
    output_source_ = g_pollable_output_stream_create_source(
        G_POLLABLE_OUTPUT_STREAM(
            g_io_stream_get_output_stream(connection_.get())),
        nullptr);
    g_source_set_callback(output_source_, G_SOURCE_FUNC(on_writable), this,
                          nullptr);
    g_source_attach(output_source_, loop_.context());
}

gboolean tls_stream::on_readable(GObject* /*stream*/, gpointer data)
{
    const auto self = static_cast<tls_stream*>(data)->shared_from_this();
    return self->read_available();
}

gboolean tls_stream::on_writable(GObject* /*stream*/, gpointer data)
{
    const auto self = static_cast<tls_stream*>(data)->shared_from_this();
    return self->write_queued();
}

gboolean tls_stream::read_available()
{
    static thread_local std::array<char, read_size> buffer;
    auto* input = G_POLLABLE_INPUT_STREAM(
        g_io_stream_get_input_stream(connection_.get()));
    for (int reads = 0; reads < reads_per_event && open_ && reading_; ++reads)
    {
        GError* raw_error = nullptr;
        const auto size = g_pollable_input_stream_read_nonblocking(
            input, buffer.data(), buffer.size(), nullptr, &raw_error);
        const net::error_ptr error{raw_error};
        if (size > 0)
        {
            if (handlers_.on_data)
                handlers_.on_data(
                    {buffer.data(), static_cast<std::size_t>(size)});
            continue;
        }
        if (size < 0 && would_block(error.get()))
            break;
        close_and_report(size == 0 ? stream_end_reason::peer_closed
                                   : stream_end_reason::reset);
        return G_SOURCE_REMOVE;
    }
    // If reading was paused, set_reading() has destroyed the source already.
    return open_ && reading_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

gboolean tls_stream::write_queued()
{
    auto* output = G_POLLABLE_OUTPUT_STREAM(
        g_io_stream_get_output_stream(connection_.get()));
    while (open_ && unsent_bytes() > 0)
    {
        const auto length = blocked_write_size_ != 0
                                ? blocked_write_size_
                                : std::min(unsent_bytes(), write_size);
        GError* raw_error = nullptr;
        const auto size = g_pollable_output_stream_write_nonblocking(
            output, queue_.data(), length, nullptr, &raw_error);
        const net::error_ptr error{raw_error};
        if (size < 0 && would_block(error.get()))
        {
            blocked_write_size_ = length;
            return G_SOURCE_CONTINUE;
        }
        if (size < 0)
        {
            close_and_report(stream_end_reason::reset);
            return G_SOURCE_REMOVE;
        }
        blocked_write_size_ = 0;
        queue_.consume(static_cast<std::size_t>(size));
    }
    if (!open_)
        return G_SOURCE_REMOVE;
    queue_.clear();
    destroy_source(output_source_);
    if (closing_)
        close();
    if (handlers_.on_drained)
        handlers_.on_drained();
    return G_SOURCE_REMOVE;
}

void tls_stream::close_when_drained()
{
    if (unsent_bytes() == 0)
    {
        close();
        return;
    }
    closing_ = true;
}

void tls_stream::deactivate()
{
    open_ = false;
    destroy_source(input_source_);
    destroy_source(output_source_);
    loop_.cancel_timer(std::exchange(handshake_timer_, 0));
    g_cancellable_cancel(cancellable_.get());
    queue_.clear();
}

void tls_stream::close()
{
    if (!open_)
        return;
    deactivate();
    // The asynchronous operation holds a reference to the connection until the
    // closing record is sent.
    const net::event_loop::default_context_scope loop_scope{loop_};
    g_io_stream_close_async(connection_.get(), G_PRIORITY_DEFAULT, nullptr,
                            nullptr, nullptr);
}

void tls_stream::shut_down()
{
    // A closing record would make a response in progress look complete.
    abort();
}

void tls_stream::abort()
{
    if (!open_)
        return;
    deactivate();
    // Without the closing record the peer can tell that the response is
    // truncated.
    GIOStream* base = nullptr;
    g_object_get(connection_.get(), "base-io-stream", &base, nullptr);
    const net::object_ptr<GIOStream> base_stream{base};
    g_socket_close(g_socket_connection_get_socket(G_SOCKET_CONNECTION(base)),
                   nullptr);
}

bool tls_stream::is_open() const
{
    return open_;
}

std::size_t tls_stream::queue_capacity() const
{
    return queue_.capacity();
}

std::size_t tls_stream::unsent_bytes() const
{
    return queue_.size();
}

void tls_stream::close_and_report(stream_end_reason reason)
{
    const auto self = shared_from_this();
    abort();
    const auto on_end = std::move(handlers_.on_end);
    handlers_ = {};
    if (on_end)
        on_end(reason);
}

} // namespace baobabloft::http
