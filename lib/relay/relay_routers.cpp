// The relay's side of other routers: asks and answers about the directory, and
// notices of requests that crash upstreams.
#include "store_timeout.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/log.hpp"

#include <sodium.h>

namespace baobabloft::relay
{

namespace
{

using router::log_event;
using router::log_level;

/// Another router answers within a few milliseconds unless the datagram or the
/// router is lost.
constexpr duration ask_timeout = 120ms;
constexpr std::size_t secret_bytes = 32;
/// Resets of a crashed upstream's other connections have arrived by then.
constexpr duration crash_judgement_delay = 60ms;
/// A crashed upstream refuses a connection well within this.
constexpr duration crash_probe_time = 200ms;

/// Returns the id under which a router at `address` takes datagrams, or
/// nothing if the address is no IPv4 address.
std::optional<router_id> id_at(const endpoint& address)
{
    const auto host = parse_ipv4(address.host);
    if (!host)
        return std::nullopt;
    return make_router_id(*host, address.port);
}

} // namespace

void relay::make_call(const directory::query_router& call)
{
    const auto id = id_at(call.control_address);
    if (!socket_ || !id)
    {
        context_.follower.handle_router_timeout(net::boot_now());
        return;
    }
    std::visit([&](const auto& message) { send(*id, message); }, call.message);
    ask_timer_ = loop_.after(
        ask_timeout,
        [this, name = call.router]
        {
            ask_timer_ = 0;
            log_event(log_level::info, "router_silent", {{"router", name}});
            context_.follower.handle_router_timeout(net::boot_now());
            follow();
        });
}

void relay::keep_linked()
{
    const auto& state = context_.follower.state();
    if (!context_.follower.has_complete_state())
        return;
    if (state.secret().empty())
    {
        if (secret_offered_)
            return;
        secret_offered_ = true;
        std::string secret(secret_bytes, '\0');
        randombytes_buf(secret.data(), secret.size());
        store_.create_secret(secret, store_timeout);
        return;
    }
    if (socket_ && linked_secret_ == state.secret())
        return;
    linked_secret_ = state.secret();
    keys_.emplace(std::vector<std::string>{linked_secret_});
    failure reason;
    if (!socket_)
        socket_ = net::datagram_socket::open(
            loop_, self_id(),
            [this](router_id from, std::string_view bytes)
            { receive(from, bytes); },
            reason);
    log_event(socket_ ? log_level::info : log_level::error,
              socket_ ? "linked" : "link_failed",
              {{"address", to_string(options_.control_listen)},
               {"reason", reason.message}});
}

router_id relay::self_id() const
{
    // The settings check lets only IPv4 addresses through.
    return id_at(options_.control_listen).value_or(router_id{});
}

void relay::send(router_id to, const fleet::message& message)
{
    const auto bytes = net::encode_datagram(*keys_, self_id(), message);
    context_.counters.datagram_sent(fleet::message_names.at(message.index()),
                                    bytes.size() + net::datagram_header_bytes);
    socket_->send(to, bytes);
}

void relay::receive(router_id from, std::string_view bytes)
{
    failure reason;
    const auto message = net::decode_datagram(*keys_, from, bytes, reason);
    if (!message)
    {
        context_.counters.datagram_refused(
            name_in(failure_kind_names, reason.kind));
        return;
    }
    context_.counters.datagram_received(
        fleet::message_names.at(message->index()),
        bytes.size() + net::datagram_header_bytes);
    std::visit(
        [&](const auto& part)
        {
            // Other kinds are between routers that follow a preset.
            if constexpr (requires { handle(from, part); })
                handle(from, part);
        },
        *message);
}

void relay::handle(router_id from, const directory::change_query& message)
{
    send(from, context_.follower.respond(net::boot_now(), message));
}

void relay::handle(router_id /*from*/,
                   const directory::change_response& message)
{
    if (context_.follower.handle_response(net::boot_now(), message))
        end_ask();
}

void relay::handle(router_id from, const directory::entry_query& message)
{
    send(from, context_.follower.respond(net::boot_now(), message));
}

void relay::handle(router_id /*from*/, const directory::entry_part& message)
{
    if (context_.follower.handle_part(net::boot_now(), message))
        end_ask();
}

void relay::end_ask()
{
    loop_.cancel(ask_timer_);
    ask_timer_ = 0;
    follow();
}

void relay::handle(router_id /*from*/, const directory::change_notice& message)
{
    context_.follower.handle_notice(net::boot_now(), message);
    follow();
}

void relay::handle(router_id /*from*/, const routing::crash_notice& message)
{
    context_.crashes.record(net::boot_now(), message.request, message.upstream);
}

void relay::suspect_crash(fingerprint request, const std::string& upstream)
{
    const auto open_before = context_.pool.open_count(upstream);
    loop_.after(crash_judgement_delay, [this, request, upstream, open_before]
                { judge_crash(request, upstream, open_before); });
}

void relay::judge_crash(fingerprint request, const std::string& upstream,
                        std::size_t open_before)
{
    // A crash takes every connection with it; a lost answer only its own.
    if (context_.pool.open_count(upstream) > 0)
        return;
    if (open_before > 0)
    {
        note_crash(request, upstream);
        return;
    }
    const auto& known = context_.follower.state().upstreams();
    const auto found = known.find(upstream);
    if (found == known.end())
        return;
    const auto probe =
        http::tcp_stream::connect(loop_, found->second.record.address, {});
    if (!probe)
        return;
    probe->set_handlers({.on_connected =
                             [weak = std::weak_ptr{probe}]
                         {
                             if (const auto held = weak.lock())
                                 held->close();
                         },
                         .on_data = nullptr,
                         .on_end =
                             [this, request, upstream](http::stream_end how)
                         {
                             if (how == http::stream_end::connect_failed)
                                 note_crash(request, upstream);
                         },
                         .on_drained = nullptr});
    // Holds the probe until it is decided.
    loop_.after(crash_probe_time, [probe] { probe->close(); });
}

void relay::note_crash(fingerprint request, const std::string& upstream)
{
    const auto now = net::boot_now();
    const routing::crash_notice notice{request, make_upstream_id(upstream)};
    context_.crashes.record(now, request, notice.upstream);
    log_event(log_level::warning, "upstream_crashed",
              {{"upstream", upstream},
               {"fingerprint", std::to_string(raw(request))},
               {"quarantined", context_.crashes.standing(now, request) ==
                                       routing::crash_standing::quarantined
                                   ? "yes"
                                   : "no"}});
    if (!socket_)
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
        if (const auto id = id_at(router.control_address);
            id && name != options_.router_name)
            send(*id, notice);
}

void relay::notify_routers()
{
    if (!socket_ || !context_.follower.is_watching_store(net::boot_now()))
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
    {
        const auto id = id_at(router.control_address);
        if (id && name != options_.router_name &&
            router.data_centre == options_.data_centre)
            send(*id,
                 directory::change_notice{context_.follower.known_revision()});
    }
}

} // namespace baobabloft::relay
