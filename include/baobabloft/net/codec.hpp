// Datagrams between routers: a keyed MAC, then cereal's portable binary form of
// one message.
#pragma once

#include "baobabloft/fleet/message.hpp"
#include "baobabloft/support/failure.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::net
{

/// Bytes of UDP and IPv4 headers, counted as control traffic.
inline constexpr std::size_t datagram_header_bytes = 28;

/// Most bytes that one datagram may carry.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// Largest answer body that the ledger keeps, so that a reply fits a datagram.
inline constexpr std::size_t max_stored_body_bytes = 1000;

/// Keys for datagrams: the first signs, all are accepted. To rotate without a
/// gap, first add the new key behind the old one everywhere, then put it in
/// front, then drop the old one.
class datagram_keys
{
public:
    /// Derives keys from shared secrets, newest first; at least one.
    explicit datagram_keys(const std::vector<std::string>& secrets);

    static constexpr std::size_t mac_bytes = 16;
    using mac = std::array<unsigned char, mac_bytes>;

    /// Returns the MAC of `bytes` under the signing key.
    [[nodiscard]] mac sign(std::string_view bytes) const;

    /// Returns true if `code` belongs to `bytes` under any accepted key.
    [[nodiscard]] bool verify(std::string_view bytes, const mac& code) const;

private:
    static constexpr std::size_t key_bytes = 32;
    using key = std::array<unsigned char, key_bytes>;

    static mac make_mac(std::string_view bytes, const key& with);

    std::vector<key> keys_;
};

/// Returns the bytes of `message`. The MAC covers the sender's address, which
/// does not travel: the receiver knows it from the packet.
std::string encode_datagram(const datagram_keys& keys, router_id sender,
                            const fleet::message& message);

/// Verifies and parses `bytes`, which came from `sender`.
std::optional<fleet::message> decode_datagram(const datagram_keys& keys,
                                              router_id sender,
                                              std::string_view bytes,
                                              failure& reason);

} // namespace baobabloft::net
