// A UDP socket for control datagrams, bound to this router's own address.
#pragma once

#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/support/failure.hpp"
#include "baobabloft/support/ids.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft::net
{

/// Sends and receives datagrams on one event loop.
class datagram_socket
{
public:
    /// Called for each datagram with the address it came from.
    using receiver = std::function<void(router_id, std::string_view)>;

    /// Binds to `self` and delivers to `receive` on `loop`'s thread.
    static std::unique_ptr<datagram_socket> open(const event_loop& loop,
                                                 router_id self,
                                                 receiver receive,
                                                 failure& reason);

    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Sends `bytes`; a datagram that the system refuses is lost, as on the
    /// way.
    void send(router_id to, std::string_view bytes);

private:
    datagram_socket(object_ptr<GSocket> socket, receiver receive);

    static gboolean on_readable(GSocket* socket, GIOCondition condition,
                                gpointer data);
    void read_all();

    object_ptr<GSocket> socket_;
    receiver receive_;
    GSource* source_ = nullptr;
};

} // namespace baobabloft::net
