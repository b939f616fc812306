// The relay's exchange with other routers: directory queries and responses.
#include "router_address.hpp"
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

/// Another router responds within a few milliseconds unless the datagram is
/// lost or the router is down.
constexpr duration router_query_timeout = 120ms;
constexpr std::size_t secret_bytes = 32;
/// Pause before the secret is written again if the store still lacks it.
constexpr duration secret_creation_pause = 3s;
/// Time for which messages with the former secret are accepted.
constexpr duration replaced_secret_lifetime = 30s;

} // namespace

std::optional<router_id> router_id_at(const endpoint& address)
{
    const auto host = parse_ipv4(address.host);
    if (!host)
        return std::nullopt;
    return make_router_id(*host, address.port);
}

void relay::start_call(const directory::query_router& call)
{
    const auto id = router_id_at(call.control_address);
    if (!router_socket_ || !id)
    {
        context_.follower.handle_router_timeout(net::boot_now());
        return;
    }
    std::visit([&](const auto& message) { send_datagram(*id, message); },
               call.message);
    router_query_timer_ = loop_.run_after(
        router_query_timeout,
        [this, name = call.router]
        {
            router_query_timer_ = 0;
            log_event(log_level::info, "router_silent", {{"router", name}});
            context_.follower.handle_router_timeout(net::boot_now());
            follow_directory();
        });
}

void relay::update_router_socket()
{
    const auto& state = context_.follower.state();
    if (!context_.follower.has_complete_state())
        return;
    create_missing_secret();
    if (state.secret().empty() ||
        (router_socket_ && socket_secret_ == state.secret()))
        return;
    std::vector<std::string> accepted{state.secret()};
    if (!socket_secret_.empty())
    {
        // Not all routers learn of the new secret at once.
        accepted.push_back(socket_secret_);
        loop_.run_after(
            replaced_secret_lifetime,
            [this] { datagram_keys_.emplace(std::vector{socket_secret_}); });
    }
    socket_secret_ = state.secret();
    datagram_keys_.emplace(accepted);
    failure reason;
    const bool is_first_link = !router_socket_;
    if (is_first_link)
        router_socket_ = net::datagram_socket::open(
            loop_, self_id(),
            [this](router_id from, std::string_view bytes)
            { receive(from, bytes); },
            reason);
    if (router_socket_ && is_first_link)
    {
        context_.protection.query_quarantine(net::boot_now());
        send_protection_messages();
    }
    log_event(router_socket_ ? log_level::info : log_level::error,
              router_socket_ ? "linked" : "link_failed",
              {{"address", to_string(options_.control_listen)},
               {"reason", reason.message}});
}

void relay::create_missing_secret()
{
    const auto now = net::boot_now();
    if (now < next_secret_creation_at_ ||
        !context_.follower.should_create_secret(now))
        return;
    next_secret_creation_at_ = now + secret_creation_pause;
    auto secret = context_.follower.state().secret();
    if (secret.empty())
    {
        secret.resize(secret_bytes);
        randombytes_buf(secret.data(), secret.size());
    }
    store_.create_secret(secret, store_timeout);
}

router_id relay::self_id() const
{
    // Validation of the settings accepts only IPv4 addresses here.
    return router_id_at(options_.control_listen).value_or(router_id{});
}

void relay::send_datagram(router_id to, const fleet::message& message)
{
    const auto bytes =
        net::encode_datagram(*datagram_keys_, self_id(), message);
    context_.counters.record_datagram_sent(
        fleet::message_names.at(message.index()),
        bytes.size() + net::datagram_header_bytes);
    router_socket_->send(to, bytes);
}

void relay::receive(router_id from, std::string_view bytes)
{
    failure reason;
    const auto message =
        net::decode_datagram(*datagram_keys_, from, bytes, reason);
    if (!message)
    {
        context_.counters.record_datagram_rejected(
            name_in(failure_kind_names, reason.kind));
        return;
    }
    context_.counters.record_datagram_received(
        fleet::message_names.at(message->index()),
        bytes.size() + net::datagram_header_bytes);
    std::visit(
        [&](const auto& typed_message)
        {
            // Other message types are exchanged only by routers that follow a
            // preset.
            if constexpr (requires { handle(from, typed_message); })
                handle(from, typed_message);
        },
        *message);
}

void relay::handle(router_id from, const directory::change_query& message)
{
    handle_config_version(from, message.config_version);
    context_.follower.handle_notice(net::boot_now(), {.era = message.era});
    if (const auto notice = context_.follower.notice_for(message))
        send_datagram(from, *notice);
    send_datagram(from, context_.follower.respond(net::boot_now(), message));
}

void relay::handle(router_id from, const directory::change_response& message)
{
    if (!message.has_history)
        log_event(
            log_level::info, "router_lacks_history",
            {{"router", to_string(from)},
             {"after", std::to_string(context_.follower.known_revision())},
             {"as_of", std::to_string(message.as_of_revision)}});
    if (context_.follower.handle_response(net::boot_now(), message))
        end_router_query();
}

void relay::handle(router_id from, const directory::entry_query& message)
{
    send_datagram(from, context_.follower.respond(net::boot_now(), message));
}

void relay::handle(router_id /*from*/, const directory::entry_part& message)
{
    if (context_.follower.handle_part(net::boot_now(), message))
        end_router_query();
}

void relay::end_router_query()
{
    loop_.cancel_timer(router_query_timer_);
    router_query_timer_ = 0;
    follow_directory();
}

void relay::handle(router_id from, const directory::config_query& message)
{
    send_datagram(from, context_.follower.respond(message));
}

void relay::handle(router_id from, const directory::listing_query& message)
{
    send_datagram(from, context_.follower.respond(net::boot_now(), message));
}

void relay::handle(router_id /*from*/,
                   const directory::listing_response& message)
{
    if (context_.follower.handle_listing(net::boot_now(), message))
        end_router_query();
}

void relay::handle(router_id /*from*/, const directory::config_part& message)
{
    if (context_.follower.handle_config_part(net::boot_now(), message))
        end_router_query();
}

void relay::handle_config_version(router_id from, std::uint64_t version)
{
    if (const auto address = parse_endpoint(to_string(from)))
        context_.follower.handle_config_version(net::boot_now(), version,
                                                *address);
}

void relay::handle(router_id from, const directory::change_notice& message)
{
    handle_config_version(from, message.config_version);
    // Only a router with an older configuration gets a response, so that two
    // routers never respond to each other without end.
    if (const auto own = context_.follower.notice();
        message.config_version < own.config_version)
        send_datagram(from, own);
    context_.follower.handle_notice(net::boot_now(), message);
    follow_directory();
}

void relay::handle(router_id from, const dispatch::traffic_report& message)
{
    send_datagram(from,
                  context_.selector.merge_report(net::boot_now(), message));
}

void relay::handle(router_id /*from*/, const dispatch::traffic_summary& message)
{
    context_.selector.apply_summary(net::boot_now(), message);
}

void relay::send_traffic_report()
{
    const auto now = net::boot_now();
    const auto report = context_.selector.take_traffic_report(now);
    const auto* watcher = context_.follower.watcher(now);
    if (!router_socket_ || watcher == nullptr)
        return;
    if (const auto id = router_id_at(watcher->control_address))
        send_datagram(*id, report);
}

void relay::notify_routers()
{
    if (!router_socket_ ||
        !context_.follower.is_watching_store(net::boot_now()))
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
    {
        const auto id = router_id_at(router.control_address);
        if (id && name != options_.router_name &&
            router.data_centre == options_.data_centre)
            send_datagram(*id, context_.follower.notice());
    }
}

void relay::compare_config_versions()
{
    if (!router_socket_)
        return;
    for (const auto& peer :
         context_.follower.take_config_peers(net::boot_now()))
        if (const auto id = router_id_at(peer.control_address))
            send_datagram(*id, context_.follower.notice());
}

void relay::send_to_all(const fleet::message& message)
{
    if (!router_socket_)
        return;
    for (const auto& [name, router] : context_.follower.state().routers())
        if (const auto id = router_id_at(router.control_address);
            id && name != options_.router_name)
            send_datagram(*id, message);
}

} // namespace baobabloft::relay
