// Identifiers that travel between routers. Each is a distinct type, so that a
// chat cannot be passed where an upstream is meant.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace baobabloft
{

/// A router: its IPv4 address in the upper 32 bits, its UDP port in the lower.
enum class router_id : std::uint64_t
{
};

/// An upstream: the low 32 bits of the hash of its name. The preset check
/// refuses names that collide.
enum class upstream_id : std::uint32_t
{
};

/// A chat: the hash of customer and chat name.
enum class chat_id : std::uint64_t
{
};

/// A customer: the low 32 bits of the hash of its name.
enum class customer_id : std::uint32_t
{
};

/// A request body: the hash of its bytes.
enum class fingerprint : std::uint64_t
{
};

/// Returns the integer behind an identifier.
template <typename Id>
constexpr auto raw(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

/// Returns the identifier of the upstream called `name`.
upstream_id make_upstream_id(std::string_view name);

/// Returns the identifier of the customer called `name`.
customer_id make_customer_id(std::string_view name);

/// Returns the identifier of the chat `chat` of customer `customer`.
chat_id make_chat_id(std::string_view customer, std::string_view chat);

/// Returns the identifier of the router at `address` (host order) and `port`.
constexpr router_id make_router_id(std::uint32_t address, std::uint16_t port)
{
    return router_id{(std::uint64_t{address} << 32U) | port};
}

/// Returns the IPv4 address of `id` in host order.
constexpr std::uint32_t address_of(router_id id)
{
    return static_cast<std::uint32_t>(raw(id) >> 32U);
}

/// Returns the UDP port of `id`.
constexpr std::uint16_t port_of(router_id id)
{
    return static_cast<std::uint16_t>(raw(id) & 0xffffU);
}

/// Returns "a.b.c.d:port".
std::string to_string(router_id id);

} // namespace baobabloft
