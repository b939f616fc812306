// The server side of a TLS connection, by GIO's TLS over an accepted socket,
// and the certificate that all of them present.
#pragma once

#include "baobabloft/http/byte_stream.hpp"
#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/failure.hpp"

#include <memory>

namespace baobabloft::http
{

/// The certificate of a listener; connections accepted later present the
/// newest.
class tls_certificate
{
public:
    /// Reads certificate and key, both PEM. On a mistake returns false with
    /// the reason, and the one before stays.
    bool load(const std::string& certificate_file, const std::string& key_file,
              failure& reason);

    [[nodiscard]] GTlsCertificate* get() const;

private:
    net::object_ptr<GTlsCertificate> certificate_;
};

/// One TLS connection. Bytes sent before the handshake is over wait for it.
class tls_stream final : public byte_stream,
                         public std::enable_shared_from_this<tls_stream>
{
public:
    /// Takes over an accepted socket and starts the handshake. Returns null if
    /// the certificate cannot be used.
    static std::shared_ptr<tls_stream> accept(net::event_loop& loop, int fd,
                                              const tls_certificate& own);

    tls_stream(net::event_loop& loop, net::object_ptr<GIOStream> connection);
    ~tls_stream() override;

    void set_handlers(handlers callbacks) override;
    void send(std::string bytes) override;
    void set_reading(bool enabled) override;
    void close_when_drained() override;
    void close() override;
    void abort() override;
    [[nodiscard]] bool is_open() const override;
    [[nodiscard]] std::size_t unsent_bytes() const override;

private:
    void begin_handshake();
    void on_handshake(bool good);
    gboolean read_available();
    gboolean write_queued();
    void watch_input();
    void watch_output();
    void end(stream_end_reason how);
    void stop_sources();

    static void on_handshake_done(GObject* source, GAsyncResult* result,
                                  gpointer data);
    static gboolean on_readable(GObject* stream, gpointer data);
    static gboolean on_writable(GObject* stream, gpointer data);

    net::event_loop& loop_;
    net::object_ptr<GIOStream> connection_;
    net::object_ptr<GCancellable> cancel_;
    handlers handlers_;
    GSource* input_source_ = nullptr;
    GSource* output_source_ = nullptr;
    guint handshake_timer_ = 0;
    bool open_ = true;
    bool ready_ = false;
    bool reading_ = true;
    bool closing_ = false;
    std::string queue_;
    std::size_t queue_start_ = 0;
    /// Size of the write that the library could not finish; it has to be
    /// repeated as it was.
    std::size_t blocked_write_ = 0;
};

} // namespace baobabloft::http
