// Identifiers that routers exchange. Each is a distinct type, so that a chat
// identifier cannot be passed where an upstream identifier is expected.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace baobabloft
{

/// Identifies a router: IPv4 address in the upper 32 bits, UDP port in the
/// lower 32.
enum class router_id : std::uint64_t
{
};

/// Identifies an upstream: low 32 bits of the hash of its name. The preset
/// check rejects names whose identifiers collide.
enum class upstream_id : std::uint32_t
{
};

/// Identifies a chat: hash of the customer name and the chat name.
enum class chat_id : std::uint64_t
{
};

/// Identifies a customer: low 32 bits of the hash of its name.
enum class customer_id : std::uint32_t
{
};

/// Identifies a request body: hash of its bytes.
enum class fingerprint : std::uint64_t
{
};

/// Identifies a property that several requests may share and that may crash
/// upstreams: a part of their prompts, or everything if they are repetitions.
enum class request_feature : std::uint64_t
{
};

/// Returns the integer value of an identifier.
template <typename Id>
constexpr auto raw(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

/// Returns the identifier of the upstream named `name`.
upstream_id make_upstream_id(std::string_view name);

/// Returns the identifier of the customer named `name`.
customer_id make_customer_id(std::string_view name);

/// Returns the identifier of chat `chat` of customer `customer`.
chat_id make_chat_id(std::string_view customer, std::string_view chat);

/// Returns the identifier of the router at `address` (host byte order) and
/// `port`.
constexpr router_id make_router_id(std::uint32_t address, std::uint16_t port)
{
    return router_id{(std::uint64_t{address} << 32U) | port};
}

/// Returns the IPv4 address of `id` in host byte order.
constexpr std::uint32_t address_of(router_id id)
{
    return static_cast<std::uint32_t>(raw(id) >> 32U);
}

/// Returns the UDP port of `id`.
constexpr std::uint16_t port_of(router_id id)
{
    return static_cast<std::uint16_t>(raw(id) & 0xffffU);
}

/// Returns the address and port of `id` as "a.b.c.d:port".
std::string to_string(router_id id);

} // namespace baobabloft
