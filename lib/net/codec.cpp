#include "baobabloft/net/codec.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>

#include <sodium.h>

#include <cassert>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace baobabloft
{

namespace
{

/// Writes or reads a vector with a length of one byte.
template <typename Archive, typename Item>
void short_list(Archive& archive, std::vector<Item>& items)
{
    auto size = static_cast<std::uint8_t>(items.size());
    archive(size);
    if constexpr (Archive::is_loading::value)
        items.resize(size);
    else
        assert(size == items.size() && "list too long for a datagram");
    for (auto& item : items)
        archive(item);
}

/// Writes or reads text with a length of two bytes.
template <typename Archive>
void short_text(Archive& archive, std::string& text)
{
    auto size = static_cast<std::uint16_t>(text.size());
    archive(size);
    if constexpr (Archive::is_loading::value)
        text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/// Writes or reads an enumeration, refusing values past `last`.
template <typename Archive, typename Enum>
void checked_enum(Archive& archive, Enum& value, Enum last)
{
    archive(value);
    if (Archive::is_loading::value && value > last)
        throw std::out_of_range("enumeration value");
}

} // namespace

namespace directory
{

template <typename Archive>
void serialize(Archive& archive, change_query& it)
{
    archive(it.sequence, it.after);
}

template <typename Archive>
void serialize(Archive& archive, reported_entry& it)
{
    short_text(archive, it.key);
    short_text(archive, it.value);
    archive(it.mod_revision, it.removed, it.is_long);
}

template <typename Archive>
void serialize(Archive& archive, change_response& it)
{
    archive(it.sequence, it.has_history, it.has_more, it.as_of_revision,
            it.confirmation_age_ms);
    short_list(archive, it.entries);
}

template <typename Archive>
void serialize(Archive& archive, change_notice& it)
{
    archive(it.revision);
}

template <typename Archive>
void serialize(Archive& archive, entry_query& it)
{
    archive(it.sequence, it.offset);
    short_text(archive, it.key);
}

template <typename Archive>
void serialize(Archive& archive, entry_part& it)
{
    archive(it.sequence, it.total_bytes, it.confirmation_age_ms,
            it.mod_revision);
    short_text(archive, it.bytes);
}

} // namespace directory

namespace membership
{

template <typename Archive>
void serialize(Archive& archive, member_record& it)
{
    archive(it.id, it.incarnation);
    checked_enum(archive, it.state, member_state::left);
    archive(it.http_port, it.data_centre);
}

template <typename Archive>
void serialize(Archive& archive, upstream_record& it)
{
    archive(it.upstream, it.version, it.leaving);
}

template <typename Archive>
void serialize(Archive& archive, crash_record& it)
{
    archive(it.request, it.upstream, it.event_id);
}

template <typename Archive>
void serialize(Archive& archive, gossip_payload& it)
{
    archive(it.generation);
    short_list(archive, it.members);
    short_list(archive, it.upstreams);
    short_list(archive, it.crashes);
}

template <typename Archive>
void serialize(Archive& archive, ping& it)
{
    archive(it.sequence, it.gossip);
}

template <typename Archive>
void serialize(Archive& archive, ping_ack& it)
{
    archive(it.sequence, it.gossip);
}

template <typename Archive>
void serialize(Archive& archive, indirect_ping& it)
{
    archive(it.sequence, it.target);
}

template <typename Archive>
void serialize(Archive& archive, join_request& it)
{
    archive(it.self);
}

template <typename Archive>
void serialize(Archive& archive, member_list& it)
{
    archive(it.generation);
    short_list(archive, it.members);
    short_list(archive, it.upstreams);
}

} // namespace membership

namespace routing
{

template <typename Archive>
void serialize(Archive& archive, crash_notice& it)
{
    archive(it.request, it.upstream);
}

template <typename Archive>
void serialize(Archive& archive, permit_request& it)
{
    constexpr unsigned queue_bit = 1;
    constexpr unsigned suspect_bit = 2;
    constexpr unsigned first_bit = 4;
    std::uint8_t flags = (it.may_queue ? queue_bit : 0U) |
                         (it.suspect ? suspect_bit : 0U) |
                         (it.may_redirect ? first_bit : 0U);
    archive(it.sequence, it.upstream, it.chat, it.customer,
            it.max_queue_wait_ms);
    checked_enum(archive, it.priority, urgency::deferrable);
    archive(flags);
    it.may_queue = (flags & queue_bit) != 0;
    it.suspect = (flags & suspect_bit) != 0;
    it.may_redirect = (flags & first_bit) != 0;
}

template <typename Archive>
void serialize(Archive& archive, permit_response& it)
{
    archive(it.sequence);
    checked_enum(archive, it.decision, verdict::expired);
    archive(it.usual_first_token_ms, it.queue_position);
}

template <typename Archive>
void serialize(Archive& archive, released_permit& it)
{
    archive(it.sequence);
    checked_enum(archive, it.request_outcome, outcome::silent);
    archive(it.first_token_ms);
}

template <typename Archive>
void serialize(Archive& archive, permit_release& it)
{
    short_list(archive, it.permits);
}

template <typename Archive>
void serialize(Archive& archive, held_permit& it)
{
    archive(it.sequence, it.upstream);
}

template <typename Archive>
void serialize(Archive& archive, permit_renewal& it)
{
    short_list(archive, it.permits);
}

template <typename Archive>
void serialize(Archive& archive, permit_cancel& it)
{
    archive(it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, suspect_cleared& it)
{
    archive(it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, slow_first_token& it)
{
    archive(it.sequence, it.waited_ms);
}

template <typename Archive>
void serialize(Archive& archive, load_entry& it)
{
    archive(it.upstream_index, it.load, it.age_steps, it.first_token_steps);
}

template <typename Archive>
void serialize(Archive& archive, load_digest& it)
{
    archive(it.service_index, it.generation);
    short_list(archive, it.entries);
}

} // namespace routing

namespace ledger
{

template <typename Archive>
void serialize(Archive& archive, stored_response& it)
{
    archive(it.status, it.complete);
    short_text(archive, it.content_type);
    short_text(archive, it.body);
}

template <typename Archive>
void serialize(Archive& archive, record& it)
{
    checked_enum(archive, it.kind, record_kind::done);
    archive(it.key.bytes, it.attempt);
    if (it.kind == record_kind::done)
        archive(it.upstream_response);
}

template <typename Archive>
void serialize(Archive& archive, append_request& it)
{
    archive(it.sequence, it.content);
}

template <typename Archive>
void serialize(Archive& archive, append_response& it)
{
    archive(it.sequence, it.attempt);
    checked_enum(archive, it.result, append_result::overloaded);
    archive(it.fencing_number);
    if (it.result == append_result::already_done)
        archive(it.upstream_response);
}

} // namespace ledger

namespace fleet
{

template <typename Archive>
void serialize(Archive& archive, preset_notice& it)
{
    archive(it.generation);
}

} // namespace fleet

namespace net
{

namespace
{

using input_archive = cereal::PortableBinaryInputArchive;

/// Reads the alternative number `kind` of the message variant.
template <std::size_t Index = 0>
fleet::message read_message(input_archive& archive, std::uint8_t kind)
{
    if constexpr (Index < std::variant_size_v<fleet::message>)
    {
        if (kind != Index)
            return read_message<Index + 1>(archive, kind);
        std::variant_alternative_t<Index, fleet::message> content;
        archive(content);
        return content;
    }
    else
        throw std::out_of_range("message kind");
}

/// Returns what the MAC of a datagram covers.
std::string signed_text(router_id sender, std::string_view body)
{
    return to_string(sender) + std::string{body};
}

constexpr const char* rebuild_remedy =
    "run the same version on every router and check the shared secrets";

} // namespace

datagram_keys::datagram_keys(const std::vector<std::string>& secrets)
{
    assert(!secrets.empty() && "a fleet needs a shared secret");
    [[maybe_unused]] const int ready = sodium_init();
    assert(ready >= 0 && "libsodium failed to start");
    for (const auto& secret : secrets)
    {
        key derived{};
        crypto_generichash(
            derived.data(), derived.size(),
            reinterpret_cast<const unsigned char*>(secret.data()),
            secret.size(), nullptr, 0);
        keys_.push_back(derived);
    }
}

datagram_keys::mac datagram_keys::make_mac(std::string_view bytes,
                                           const key& with)
{
    mac code{};
    crypto_generichash(code.data(), code.size(),
                       reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size(), with.data(), with.size());
    return code;
}

datagram_keys::mac datagram_keys::sign(std::string_view bytes) const
{
    return make_mac(bytes, keys_.front());
}

bool datagram_keys::verify(std::string_view bytes, const mac& code) const
{
    for (const auto& accepted : keys_)
    {
        const auto expected = make_mac(bytes, accepted);
        if (sodium_memcmp(expected.data(), code.data(), code.size()) == 0)
            return true;
    }
    return false;
}

std::string encode_datagram(const datagram_keys& keys, router_id sender,
                            const fleet::message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(static_cast<std::uint8_t>(message.index()));
        std::visit(
            [&archive](const auto& part)
            {
                auto copy = part;
                archive(copy);
            },
            message);
    }
    const auto body = std::move(stream).str();
    const auto code = keys.sign(signed_text(sender, body));
    std::string bytes{reinterpret_cast<const char*>(code.data()), code.size()};
    return bytes + body;
}

std::optional<fleet::message> decode_datagram(const datagram_keys& keys,
                                              router_id sender,
                                              std::string_view bytes,
                                              failure& reason)
{
    datagram_keys::mac code{};
    if (bytes.size() <= code.size())
    {
        reason = {failure_kind::malformed_message, "datagram too short",
                  rebuild_remedy};
        return std::nullopt;
    }
    std::copy_n(bytes.begin(), code.size(),
                reinterpret_cast<char*>(code.data()));
    const auto body = bytes.substr(code.size());
    if (!keys.verify(signed_text(sender, body), code))
    {
        reason = {failure_kind::wrong_key, "datagram with a wrong MAC",
                  rebuild_remedy};
        return std::nullopt;
    }
    std::istringstream stream{std::string{body}};
    // cereal reports damaged input by exceptions.
    try
    {
        input_archive archive(stream);
        std::uint8_t kind = 0;
        archive(kind);
        return read_message(archive, kind);
    }
    catch (const std::exception&)
    {
        reason = {failure_kind::malformed_message, "datagram cannot be read",
                  rebuild_remedy};
        return std::nullopt;
    }
}

} // namespace net

} // namespace baobabloft
