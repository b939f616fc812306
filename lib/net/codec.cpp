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

/// Writes or reads a vector, preceded by its length in one byte.
template <typename Archive, typename Item>
void serialize_list(Archive& archive, std::vector<Item>& items)
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

/// Writes or reads a string, preceded by its length in two bytes.
template <typename Archive>
void serialize_text(Archive& archive, std::string& text)
{
    auto size = static_cast<std::uint16_t>(text.size());
    archive(size);
    if constexpr (Archive::is_loading::value)
        text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/// Writes or reads an enumerator. Throws std::out_of_range if a value read is
/// greater than `last`.
template <typename Archive, typename Enum>
void serialize_enum(Archive& archive, Enum& value, Enum last)
{
    archive(value);
    if (Archive::is_loading::value && value > last)
        throw std::out_of_range("enumeration value out of range");
}

/// Writes or reads a count in one byte if it is below 128, else in two or
/// three.
template <typename Archive>
void serialize_count(Archive& archive, std::uint16_t& count)
{
    constexpr unsigned bits = 7;
    constexpr unsigned more_bit = 1U << bits;
    unsigned rest = count;
    unsigned value = 0;
    for (unsigned shift = 0; shift < 3 * bits; shift += bits)
    {
        auto byte = static_cast<std::uint8_t>(
            (rest & (more_bit - 1)) | (rest >= more_bit ? more_bit : 0U));
        archive(byte);
        rest >>= bits;
        value |= (byte & (more_bit - 1)) << shift;
        if ((byte & more_bit) == 0)
            break;
    }
    if (value > std::numeric_limits<std::uint16_t>::max())
        throw std::out_of_range("count out of range");
    count = static_cast<std::uint16_t>(value);
}

} // namespace

namespace directory
{

template <typename Archive>
void serialize(Archive& archive, change_query& object)
{
    archive(object.sequence, object.after, object.era, object.config_version);
}

template <typename Archive>
void serialize(Archive& archive, reported_entry& object)
{
    serialize_text(archive, object.key);
    serialize_text(archive, object.value);
    archive(object.mod_revision, object.removed, object.is_long);
}

template <typename Archive>
void serialize(Archive& archive, change_response& object)
{
    archive(object.sequence, object.has_history, object.has_more,
            object.as_of_revision, object.confirmation_age_ms);
    serialize_list(archive, object.entries);
}

template <typename Archive>
void serialize(Archive& archive, change_notice& object)
{
    archive(object.revision, object.era, object.config_version);
}

template <typename Archive>
void serialize(Archive& archive, listing_query& object)
{
    archive(object.sequence);
    serialize_text(archive, object.after);
}

template <typename Archive>
void serialize(Archive& archive, listing_response& object)
{
    archive(object.sequence, object.is_complete, object.has_more,
            object.as_of_revision, object.confirmation_age_ms, object.era,
            object.config_version);
    serialize_list(archive, object.entries);
}

template <typename Archive>
void serialize(Archive& archive, config_query& object)
{
    archive(object.sequence, object.offset);
}

template <typename Archive>
void serialize(Archive& archive, config_part& object)
{
    archive(object.sequence, object.version, object.total_bytes);
    serialize_text(archive, object.bytes);
}

template <typename Archive>
void serialize(Archive& archive, entry_query& object)
{
    archive(object.sequence, object.offset);
    serialize_text(archive, object.key);
}

template <typename Archive>
void serialize(Archive& archive, entry_part& object)
{
    archive(object.sequence, object.total_bytes, object.confirmation_age_ms,
            object.mod_revision, object.era);
    serialize_text(archive, object.bytes);
}

} // namespace directory

namespace dispatch
{

template <typename Archive>
void serialize(Archive& archive, load_sample& object)
{
    archive(object.upstream, object.load, object.age_steps, object.work_steps);
}

template <typename Archive>
void serialize(Archive& archive, limit_sample& object)
{
    archive(object.upstream, object.rate_steps, object.age_steps);
}

template <typename Archive>
void serialize(Archive& archive, prefix_share& object)
{
    archive(object.prefix, object.share_steps);
}

template <typename Archive>
void serialize(Archive& archive, traffic_report& object)
{
    serialize_list(archive, object.loads);
    serialize_list(archive, object.prefixes);
    serialize_list(archive, object.limits);
}

template <typename Archive>
void serialize(Archive& archive, traffic_summary& object)
{
    serialize_list(archive, object.loads);
    serialize_list(archive, object.hot_prefixes);
    serialize_list(archive, object.limits);
}

template <typename Archive>
void serialize(Archive& archive, rollout_cell& object)
{
    archive(object.route, object.upstream);
    serialize_count(archive, object.responses);
    serialize_count(archive, object.failures);
    for (auto& count : object.latencies)
        serialize_count(archive, count);
}

template <typename Archive>
void serialize(Archive& archive, rollout_report& object)
{
    archive(object.rollout, object.lifetime, object.order_age_ms,
            object.requests, object.target_requests, object.others_in_progress);
    serialize_list(archive, object.cells);
}

template <typename Archive>
void serialize(Archive& archive, rollout_response& object)
{
    archive(object.rollout);
    serialize_enum(archive, object.stage, rollout_stage::revert);
    archive(object.share_steps, object.order_age_ms);
}

} // namespace dispatch

namespace membership
{

template <typename Archive>
void serialize(Archive& archive, member_record& object)
{
    archive(object.id, object.incarnation);
    serialize_enum(archive, object.state, member_state::left);
    archive(object.http_port, object.data_centre);
}

template <typename Archive>
void serialize(Archive& archive, upstream_record& object)
{
    archive(object.upstream, object.version, object.leaving);
}

template <typename Archive>
void serialize(Archive& archive, crash_record& object)
{
    archive(object.request, object.upstream, object.event_id);
}

template <typename Archive>
void serialize(Archive& archive, gossip_payload& object)
{
    archive(object.generation);
    serialize_list(archive, object.members);
    serialize_list(archive, object.upstreams);
    serialize_list(archive, object.crashes);
}

template <typename Archive>
void serialize(Archive& archive, ping& object)
{
    archive(object.sequence, object.gossip);
}

template <typename Archive>
void serialize(Archive& archive, ping_ack& object)
{
    archive(object.sequence, object.gossip);
}

template <typename Archive>
void serialize(Archive& archive, indirect_ping& object)
{
    archive(object.sequence, object.target);
}

template <typename Archive>
void serialize(Archive& archive, join_request& object)
{
    archive(object.self);
}

template <typename Archive>
void serialize(Archive& archive, member_list& object)
{
    archive(object.generation);
    serialize_list(archive, object.members);
    serialize_list(archive, object.upstreams);
}

} // namespace membership

namespace routing
{

template <typename Archive>
void serialize(Archive& archive, crash_notice& object)
{
    archive(object.request, object.upstream);
}

template <typename Archive>
void serialize(Archive& archive, feature_crash_report& object)
{
    archive(object.request, object.upstream);
    serialize_list(archive, object.features);
}

template <typename Archive>
void serialize(Archive& archive, success_query& object)
{
    archive(object.feature, object.within_ms);
}

template <typename Archive>
void serialize(Archive& archive, features_cleared& object)
{
    serialize_list(archive, object.features);
}

template <typename Archive>
void serialize(Archive& archive, feature_quarantine& object)
{
    serialize_list(archive, object.features);
}

template <typename Archive>
void serialize(Archive& archive, older_successes& object)
{
    serialize_list(archive, object.features);
}

template <typename Archive>
void serialize(Archive& archive, crash_sighting& object)
{
    archive(object.upstream, object.age_ms);
}

template <typename Archive>
void serialize(Archive& archive, quarantine_record& object)
{
    archive(object.feature, object.is_whole_request, object.trial_pause_ms,
            object.next_trial_ms);
    serialize_list(archive, object.crashes);
}

template <typename Archive>
void serialize(Archive& archive, quarantine_notice& object)
{
    archive(object.is_complete);
    serialize_list(archive, object.records);
}

template <typename Archive>
void serialize(Archive& archive, trial_query& object)
{
    archive(object.sequence);
    serialize_list(archive, object.records);
}

template <typename Archive>
void serialize(Archive& archive, trial_response& object)
{
    archive(object.sequence, object.granted, object.retry_ms);
}

template <typename Archive>
void serialize(Archive& /*archive*/, quarantine_query& /*object*/)
{
}

template <typename Archive>
void serialize(Archive& archive, permit_request& object)
{
    constexpr unsigned may_queue_bit = 1;
    constexpr unsigned suspect_bit = 2;
    constexpr unsigned may_redirect_bit = 4;
    std::uint8_t flags = (object.may_queue ? may_queue_bit : 0U) |
                         (object.suspect ? suspect_bit : 0U) |
                         (object.may_redirect ? may_redirect_bit : 0U);
    archive(object.sequence, object.upstream, object.chat, object.customer,
            object.max_queue_wait_ms);
    serialize_enum(archive, object.priority, urgency::deferrable);
    archive(flags);
    object.may_queue = (flags & may_queue_bit) != 0;
    object.suspect = (flags & suspect_bit) != 0;
    object.may_redirect = (flags & may_redirect_bit) != 0;
}

template <typename Archive>
void serialize(Archive& archive, permit_response& object)
{
    archive(object.sequence);
    serialize_enum(archive, object.decision, verdict::expired);
    archive(object.usual_first_token_ms, object.queue_position);
}

template <typename Archive>
void serialize(Archive& archive, released_permit& object)
{
    archive(object.sequence);
    serialize_enum(archive, object.request_outcome, outcome::timed_out);
    archive(object.first_token_ms);
}

template <typename Archive>
void serialize(Archive& archive, permit_release& object)
{
    serialize_list(archive, object.permits);
}

template <typename Archive>
void serialize(Archive& archive, held_permit& object)
{
    archive(object.sequence, object.upstream);
}

template <typename Archive>
void serialize(Archive& archive, permit_renewal& object)
{
    serialize_list(archive, object.permits);
}

template <typename Archive>
void serialize(Archive& archive, permit_cancel& object)
{
    archive(object.sequence);
}

template <typename Archive>
void serialize(Archive& archive, suspect_cleared& object)
{
    archive(object.sequence);
}

template <typename Archive>
void serialize(Archive& archive, slow_first_token& object)
{
    archive(object.sequence, object.waited_ms);
}

template <typename Archive>
void serialize(Archive& archive, load_entry& object)
{
    archive(object.upstream_index, object.load, object.age_steps,
            object.first_token_steps);
}

template <typename Archive>
void serialize(Archive& archive, load_digest& object)
{
    archive(object.service_index, object.generation);
    serialize_list(archive, object.entries);
}

} // namespace routing

namespace ledger
{

template <typename Archive>
void serialize(Archive& archive, stored_response& object)
{
    archive(object.status, object.complete);
    serialize_text(archive, object.content_type);
    serialize_text(archive, object.body);
}

template <typename Archive>
void serialize(Archive& archive, record& object)
{
    serialize_enum(archive, object.kind, record_kind::done);
    archive(object.key.bytes, object.attempt);
    if (object.kind == record_kind::done)
        archive(object.upstream_response);
}

template <typename Archive>
void serialize(Archive& archive, append_request& object)
{
    archive(object.sequence, object.content);
}

template <typename Archive>
void serialize(Archive& archive, append_response& object)
{
    archive(object.sequence, object.attempt);
    serialize_enum(archive, object.result, append_result::overloaded);
    archive(object.fencing_number);
    if (object.result == append_result::already_done)
        archive(object.upstream_response);
}

template <typename Archive>
void serialize(Archive& archive, history_query& object)
{
    archive(object.sequence, object.shard);
}

template <typename Archive>
void serialize(Archive& archive, history_response& object)
{
    archive(object.sequence, object.shard, object.uptime_ms, object.view_age_ms,
            object.last_entry, object.entry_hash, object.lost_entries);
}

} // namespace ledger

namespace fleet
{

template <typename Archive>
void serialize(Archive& archive, preset_notice& object)
{
    archive(object.generation);
}

} // namespace fleet

namespace net
{

namespace
{

using input_archive = cereal::PortableBinaryInputArchive;

/// Reads a message of the kind with index `kind` in the message variant. Throws
/// std::out_of_range if there is no such kind.
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
        throw std::out_of_range("unknown message kind");
}

/// Returns the bytes that the MAC of a datagram covers.
std::string authenticated_bytes(router_id sender, std::string_view body)
{
    return to_string(sender) + std::string{body};
}

constexpr const char* mismatch_remedy =
    "run the same version on every router and check the shared secrets";

} // namespace

datagram_keys::datagram_keys(const std::vector<std::string>& secrets)
{
    assert(!secrets.empty() && "at least one shared secret is required");
    [[maybe_unused]] const int ready = sodium_init();
    assert(ready >= 0 && "libsodium failed to initialize");
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

datagram_keys::mac datagram_keys::compute_mac(std::string_view bytes,
                                              const key& mac_key)
{
    mac result{};
    crypto_generichash(result.data(), result.size(),
                       reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size(), mac_key.data(), mac_key.size());
    return result;
}

datagram_keys::mac datagram_keys::sign(std::string_view bytes) const
{
    return compute_mac(bytes, keys_.front());
}

bool datagram_keys::verify(std::string_view bytes, const mac& received) const
{
    for (const auto& accepted : keys_)
    {
        const auto expected = compute_mac(bytes, accepted);
        if (sodium_memcmp(expected.data(), received.data(), received.size()) ==
            0)
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
            [&archive](const auto& content)
            {
                auto copy = content;
                archive(copy);
            },
            message);
    }
    const auto body = std::move(stream).str();
    const auto mac = keys.sign(authenticated_bytes(sender, body));
    std::string bytes{reinterpret_cast<const char*>(mac.data()), mac.size()};
    return bytes + body;
}

std::optional<fleet::message> decode_datagram(const datagram_keys& keys,
                                              router_id sender,
                                              std::string_view bytes,
                                              failure& reason)
{
    datagram_keys::mac mac{};
    if (bytes.size() <= mac.size())
    {
        reason = {failure_kind::malformed_message,
                  "datagram is too short to hold a message", mismatch_remedy};
        return std::nullopt;
    }
    std::copy_n(bytes.begin(), mac.size(), reinterpret_cast<char*>(mac.data()));
    const auto body = bytes.substr(mac.size());
    if (!keys.verify(authenticated_bytes(sender, body), mac))
    {
        reason = {failure_kind::wrong_key, "datagram has a wrong MAC",
                  mismatch_remedy};
        return std::nullopt;
    }
    std::istringstream stream{std::string{body}};
    // cereal reports malformed input by exceptions.
    try
    {
        input_archive archive(stream);
        std::uint8_t kind = 0;
        archive(kind);
        return read_message(archive, kind);
    }
    catch (const std::exception&)
    {
        reason = {failure_kind::malformed_message,
                  "datagram holds a malformed message", mismatch_remedy};
        return std::nullopt;
    }
}

} // namespace net

} // namespace baobabloft
