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
    /// Called for each datagram with the address of its sender.
    using receive_handler = std::function<void(router_id, std::string_view)>;

    /// Binds to the address in `own_id` and calls `handler` for received
    /// datagrams on the thread of `loop`. Returns null and sets `reason` if the
    /// address cannot be bound.
    static std::unique_ptr<datagram_socket> open(const event_loop& loop,
                                                 router_id own_id,
                                                 receive_handler handler,
                                                 failure& reason);

    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Sends `bytes` to `to`. A datagram that the system rejects is dropped
    /// silently, as if it were lost in the network.
    void send(router_id to, std::string_view bytes);

private:
    datagram_socket(object_ptr<GSocket> socket, receive_handler handler);

    static gboolean on_readable(GSocket* socket, GIOCondition condition,
                                gpointer data);
    void read_pending();

    object_ptr<GSocket> socket_;
    receive_handler handler_;
    GSource* source_ = nullptr;
};

} // namespace baobabloft::net
