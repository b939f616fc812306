// Encoding of the datagrams between routers: a keyed message authentication
// code (MAC), then one message in cereal's portable binary format.
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

/// Size of the IPv4 and UDP headers of a datagram, in bytes. The counters of
/// control traffic include it.
inline constexpr std::size_t datagram_header_bytes = 28;

/// Largest payload of a datagram, MAC included, in bytes.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// Largest response body that the ledger stores, in bytes. The bound lets an
/// append_response that carries a stored response fit into one datagram.
inline constexpr std::size_t max_stored_body_bytes = 1000;

/// Keys that authenticate datagrams. The first key signs; datagrams under any
/// of the keys are accepted. To rotate keys without rejected datagrams, add the
/// new key after the old one on every router, then move it to the front on
/// every router, then remove the old one.
class datagram_keys
{
public:
    /// Derives one key from each shared secret. The first secret gives the
    /// signing key; at least one is required.
    explicit datagram_keys(const std::vector<std::string>& secrets);

    static constexpr std::size_t mac_bytes = 16;
    using mac = std::array<unsigned char, mac_bytes>;

    /// Returns the MAC of `bytes` under the signing key.
    [[nodiscard]] mac sign(std::string_view bytes) const;

    /// Returns true if `received` is the MAC of `bytes` under any of the keys.
    [[nodiscard]] bool verify(std::string_view bytes,
                              const mac& received) const;

private:
    static constexpr std::size_t key_bytes = 32;
    using key = std::array<unsigned char, key_bytes>;

    static mac compute_mac(std::string_view bytes, const key& mac_key);

    std::vector<key> keys_;
};

/// Returns the datagram that carries `message`. The MAC also covers the
/// sender's address, which is not part of the payload: the receiver takes it
/// from the packet.
std::string encode_datagram(const datagram_keys& keys, router_id sender,
                            const fleet::message& message);

/// Verifies and decodes the datagram `bytes` from `sender`. Returns nothing and
/// sets `reason` if the MAC is wrong or the message is malformed.
std::optional<fleet::message> decode_datagram(const datagram_keys& keys,
                                              router_id sender,
                                              std::string_view bytes,
                                              failure& reason);

} // namespace baobabloft::net
