// An IPv4 address with a port, and its text form.
#pragma once

#include "baobabloft/support/failure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft
{

/// An IPv4 address and port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "a.b.c.d:port".
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns the IPv4 address of `host` in host order.
std::optional<std::uint32_t> parse_ipv4(std::string_view host);

/// Returns "a.b.c.d:port".
std::string to_string(const endpoint& address);

} // namespace baobabloft
