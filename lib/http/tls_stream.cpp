#include "baobabloft/http/tls_stream.hpp"

#include <algorithm>
#include <array>
#include <unistd.h>
#include <utility>

namespace baobabloft::http
{

namespace
{

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Reads in one turn of the loop, so that one peer cannot starve the others.
constexpr int reads_per_turn = 4;
/// Largest write; a TLS record holds no more.
constexpr std::size_t write_size = std::size_t{16} * 1024;
/// Longest time for a handshake, as for a request's header.
constexpr duration handshake_timeout = 10s;

bool would_block(const GError* error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

/// Keeps a stream alive through one asynchronous operation.
struct operation
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
    net::object_ptr<GTlsCertificate> read{g_tls_certificate_new_from_files(
        certificate_file.c_str(), key_file.c_str(), &raw_error)};
    const net::error_ptr error{raw_error};
    if (!read)
    {
        reason = {failure_kind::invalid_setting,
                  std::string{"cannot read the certificate: "} + error->message,
                  "check tls-certificate and tls-key"};
        return false;
    }
    certificate_ = std::move(read);
    return true;
}

GTlsCertificate* tls_certificate::get() const
{
    return certificate_.get();
}

std::shared_ptr<tls_stream> tls_stream::accept(net::event_loop& loop, int fd,
                                               const tls_certificate& own)
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
    GIOStream* secured = g_tls_server_connection_new(G_IO_STREAM(base.get()),
                                                     own.get(), nullptr);
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
      cancel_(g_cancellable_new())
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
    const net::event_loop::default_context_scope own{loop_};
    const std::weak_ptr<tls_stream> weak = weak_from_this();
    handshake_timer_ = loop_.run_after(handshake_timeout,
                                       [weak]
                                       {
                                           const auto self = weak.lock();
                                           if (!self)
                                               return;
                                           self->handshake_timer_ = 0;
                                           self->end(stream_end::reset);
                                       });
    g_tls_connection_handshake_async(G_TLS_CONNECTION(connection_.get()),
                                     G_PRIORITY_DEFAULT, cancel_.get(),
                                     on_handshake_done, new operation{weak});
}

void tls_stream::on_handshake_done(GObject* source, GAsyncResult* result,
                                   gpointer data)
{
    const std::unique_ptr<operation> waiting{static_cast<operation*>(data)};
    const bool good = g_tls_connection_handshake_finish(
                          G_TLS_CONNECTION(source), result, nullptr) != FALSE;
    if (const auto self = waiting->stream.lock())
        self->on_handshake(good);
}

void tls_stream::on_handshake(bool good)
{
    if (!open_)
        return;
    loop_.cancel_timer(std::exchange(handshake_timer_, 0));
    if (!good)
    {
        end(stream_end::reset);
        return;
    }
    ready_ = true;
    if (handlers_.on_connected)
        handlers_.on_connected();
    watch_input();
    watch_output();
}

void tls_stream::send(std::string bytes)
{
    if (!open_ || bytes.empty())
        return;
    if (queue_.empty())
        queue_ = std::move(bytes);
    else
        queue_ += bytes;
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
    if (!open_ || !ready_ || !reading_ || input_source_ != nullptr)
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
    if (!open_ || !ready_ || unsent() == 0 || output_source_ != nullptr)
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
    for (int turn = 0; turn < reads_per_turn && open_ && reading_; ++turn)
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
        end(size == 0 ? stream_end::peer_closed : stream_end::reset);
        return G_SOURCE_REMOVE;
    }
    // Stopping to read has destroyed the source already.
    return open_ && reading_ ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

gboolean tls_stream::write_queued()
{
    auto* output = G_POLLABLE_OUTPUT_STREAM(
        g_io_stream_get_output_stream(connection_.get()));
    while (open_ && unsent() > 0)
    {
        const auto wanted = blocked_write_ != 0
                                ? blocked_write_
                                : std::min(unsent(), write_size);
        GError* raw_error = nullptr;
        const auto size = g_pollable_output_stream_write_nonblocking(
            output, queue_.data() + queue_start_, wanted, nullptr, &raw_error);
        const net::error_ptr error{raw_error};
        if (size < 0 && would_block(error.get()))
        {
            blocked_write_ = wanted;
            return G_SOURCE_CONTINUE;
        }
        if (size < 0)
        {
            end(stream_end::reset);
            return G_SOURCE_REMOVE;
        }
        blocked_write_ = 0;
        queue_start_ += static_cast<std::size_t>(size);
    }
    if (!open_)
        return G_SOURCE_REMOVE;
    queue_.clear();
    queue_start_ = 0;
    destroy_source(output_source_);
    if (closing_)
        close();
    if (handlers_.on_drained)
        handlers_.on_drained();
    return G_SOURCE_REMOVE;
}

void tls_stream::close_when_drained()
{
    if (unsent() == 0)
    {
        close();
        return;
    }
    closing_ = true;
}

void tls_stream::stop_sources()
{
    open_ = false;
    destroy_source(input_source_);
    destroy_source(output_source_);
    loop_.cancel_timer(std::exchange(handshake_timer_, 0));
    g_cancellable_cancel(cancel_.get());
    queue_.clear();
    queue_start_ = 0;
}

void tls_stream::close()
{
    if (!open_)
        return;
    stop_sources();
    // The operation keeps the connection until its last record has left.
    const net::event_loop::default_context_scope own{loop_};
    g_io_stream_close_async(connection_.get(), G_PRIORITY_DEFAULT, nullptr,
                            nullptr, nullptr);
}

void tls_stream::abort()
{
    if (!open_)
        return;
    stop_sources();
    // Without the closing record the peer sees that the answer is cut.
    GIOStream* base = nullptr;
    g_object_get(connection_.get(), "base-io-stream", &base, nullptr);
    const net::object_ptr<GIOStream> held{base};
    g_socket_close(g_socket_connection_get_socket(G_SOCKET_CONNECTION(base)),
                   nullptr);
}

bool tls_stream::is_open() const
{
    return open_;
}

std::size_t tls_stream::unsent() const
{
    return queue_.size() - queue_start_;
}

void tls_stream::end(stream_end how)
{
    const auto self = shared_from_this();
    abort();
    const auto on_end = std::move(handlers_.on_end);
    handlers_ = {};
    if (on_end)
        on_end(how);
}

} // namespace baobabloft::http
