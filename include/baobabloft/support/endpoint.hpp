// An IPv4 address with a port, and its text form.
#pragma once

#include "baobabloft/support/failure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft
{

/// An IPv4 address in dotted form and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "a.b.c.d:port"; returns nothing if `text` has another form.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Parses the IPv4 address "a.b.c.d" into host byte order; returns nothing if
/// `host` has another form.
std::optional<std::uint32_t> parse_ipv4(std::string_view host);

/// Returns "a.b.c.d:port".
std::string to_string(const endpoint& address);

} // namespace baobabloft
