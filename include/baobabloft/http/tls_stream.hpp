// The server side of a TLS connection over an accepted socket, implemented with
// GIO, and the certificate that such connections present.
#pragma once

#include "baobabloft/http/byte_stream.hpp"
#include "baobabloft/http/send_queue.hpp"
#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/failure.hpp"

#include <memory>

namespace baobabloft::http
{

/// The certificate of a listener. Can be reloaded; connections accepted
/// afterwards present the new one.
class tls_certificate
{
public:
    /// Reads the certificate and its key from PEM files. On failure returns
    /// false, sets `reason` and keeps the previous certificate.
    bool load(const std::string& certificate_file, const std::string& key_file,
              failure& reason);

    /// Returns the loaded certificate, or null if there is none.
    [[nodiscard]] GTlsCertificate* get() const;

private:
    net::object_ptr<GTlsCertificate> certificate_;
};

/// One TLS connection. Bytes sent before the handshake completes are queued.
class tls_stream final : public byte_stream,
                         public std::enable_shared_from_this<tls_stream>
{
public:
    /// Takes ownership of an accepted socket and starts the handshake. Returns
    /// null if the socket or the certificate cannot be used.
    static std::shared_ptr<tls_stream>
    accept(net::event_loop& loop, int fd, const tls_certificate& certificate);

    tls_stream(net::event_loop& loop, net::object_ptr<GIOStream> connection);
    ~tls_stream() override;

    void set_handlers(handlers callbacks) override;
    void send(std::string bytes) override;
    void set_reading(bool enabled) override;
    void close_when_drained() override;
    void close() override;
    void shut_down() override;
    void abort() override;
    [[nodiscard]] bool is_open() const override;
    [[nodiscard]] std::size_t unsent_bytes() const override;
    [[nodiscard]] std::size_t queue_capacity() const override;

private:
    void begin_handshake();
    void finish_handshake(bool succeeded);
    gboolean read_available();
    gboolean write_queued();
    void watch_input();
    void watch_output();
    /// Aborts the connection and runs on_end.
    void close_and_report(stream_end_reason reason);
    /// Marks the connection closed, removes its event sources and discards the
    /// queue.
    void deactivate();

    static void on_handshake_done(GObject* source, GAsyncResult* result,
                                  gpointer data);
    static gboolean on_readable(GObject* stream, gpointer data);
    static gboolean on_writable(GObject* stream, gpointer data);

    net::event_loop& loop_;
    net::object_ptr<GIOStream> connection_;
    net::object_ptr<GCancellable> cancellable_;
    handlers handlers_;
    GSource* input_source_ = nullptr;
    GSource* output_source_ = nullptr;
    guint handshake_timer_ = 0;
    bool open_ = true;
    bool handshake_done_ = false;
    bool reading_ = true;
    /// Close once the queue is empty.
    bool closing_ = false;
    send_queue queue_;
    /// Size in bytes of a write that would have blocked, or 0. The TLS library
    /// requires the retry to pass the same bytes.
    std::size_t blocked_write_size_ = 0;
};

} // namespace baobabloft::http
