#include "baobabloft/net/datagram_socket.hpp"

#include <array>
#include <sys/socket.h>

namespace baobabloft::net
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 2048;
constexpr int max_reads_per_wakeup = 256;
constexpr int kernel_receive_buffer_bytes = 1 << 20;

object_ptr<GSocketAddress> to_socket_address(router_id id)
{
    const auto host = g_htonl(address_of(id));
    const object_ptr<GInetAddress> inet{g_inet_address_new_from_bytes(
        reinterpret_cast<const guint8*>(&host), G_SOCKET_FAMILY_IPV4)};
    return object_ptr<GSocketAddress>{
        g_inet_socket_address_new(inet.get(), port_of(id))};
}

router_id to_router_id(GSocketAddress* address)
{
    auto* inet_address = G_INET_SOCKET_ADDRESS(address);
    const auto* bytes = g_inet_address_to_bytes(
        g_inet_socket_address_get_address(inet_address));
    std::uint32_t host = 0;
    for (int index = 0; index < 4; ++index)
        host = (host << 8U) | bytes[index];
    return make_router_id(host, g_inet_socket_address_get_port(inet_address));
}

} // namespace

std::unique_ptr<datagram_socket> datagram_socket::open(const event_loop& loop,
                                                       router_id own_id,
                                                       receive_handler handler,
                                                       failure& reason)
{
    GError* raw_error = nullptr;
    object_ptr<GSocket> socket{g_socket_new(G_SOCKET_FAMILY_IPV4,
                                            G_SOCKET_TYPE_DATAGRAM,
                                            G_SOCKET_PROTOCOL_UDP, &raw_error)};
    if (socket)
    {
        g_socket_set_blocking(socket.get(), FALSE);
        g_socket_set_option(socket.get(), SOL_SOCKET, SO_RCVBUF,
                            kernel_receive_buffer_bytes, nullptr);
        const auto address = to_socket_address(own_id);
        if (g_socket_bind(socket.get(), address.get(), FALSE, &raw_error) !=
            FALSE)
        {
            std::unique_ptr<datagram_socket> result{
                new datagram_socket(std::move(socket), std::move(handler))};
            g_source_attach(result->source_, loop.context());
            return result;
        }
    }
    const error_ptr error{raw_error};
    reason = {failure_kind::io,
              "cannot bind " + to_string(own_id) + ": " + error->message,
              "choose a free control-listen address of this host"};
    return nullptr;
}

datagram_socket::datagram_socket(object_ptr<GSocket> socket,
                                 receive_handler handler)
    : socket_(std::move(socket)), handler_(std::move(handler)),
      source_(g_socket_create_source(socket_.get(), G_IO_IN, nullptr))
{
    // GLib casts the callback back to the callback type of the socket source.
    g_source_set_callback(source_,
                          reinterpret_cast<GSourceFunc>(
                              reinterpret_cast<void (*)()>(on_readable)),
                          this, nullptr);
}

datagram_socket::~datagram_socket()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

void datagram_socket::send(router_id to, std::string_view bytes)
{
    const auto address = to_socket_address(to);
    GError* raw_error = nullptr;
    g_socket_send_to(socket_.get(), address.get(), bytes.data(), bytes.size(),
                     nullptr, &raw_error);
    const error_ptr ignored{raw_error};
}

gboolean datagram_socket::on_readable(GSocket* /*socket*/,
                                      GIOCondition /*condition*/, gpointer data)
{
    static_cast<datagram_socket*>(data)->read_pending();
    return G_SOURCE_CONTINUE;
}

void datagram_socket::read_pending()
{
    std::array<char, receive_buffer_bytes> buffer{};
    for (int count = 0; count < max_reads_per_wakeup; ++count)
    {
        GSocketAddress* raw_address = nullptr;
        GError* raw_error = nullptr;
        const auto size =
            g_socket_receive_from(socket_.get(), &raw_address, buffer.data(),
                                  buffer.size(), nullptr, &raw_error);
        const error_ptr error{raw_error};
        const object_ptr<GSocketAddress> address{raw_address};
        if (size < 0)
            return;
        handler_(to_router_id(address.get()),
                 {buffer.data(), static_cast<std::size_t>(size)});
    }
}

} // namespace baobabloft::net
