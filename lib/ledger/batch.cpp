#include "baobabloft/ledger/batch.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace baobabloft::ledger
{

// cereal finds these functions by argument-dependent lookup.
template <typename Archive>
void serialize(Archive& archive, idempotency_key& key)
{
    archive(key.bytes);
}

template <typename Archive>
void serialize(Archive& archive, stored_response& value)
{
    archive(value.status, value.complete, value.content_type, value.body);
}

template <typename Archive>
void save(Archive& archive, const record& value)
{
    archive(value.kind, value.key, value.attempt);
    if (value.kind == record_kind::done)
        archive(value.upstream_response);
}

template <typename Archive>
void load(Archive& archive, record& value)
{
    archive(value.kind, value.key, value.attempt);
    if (value.kind == record_kind::done)
        archive(value.upstream_response);
}

template <typename Archive>
void serialize(Archive& archive, batch& value)
{
    archive(value.nonce, value.low_water_mark_ms, value.records);
}

std::string encode_batch(const batch& content)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(content);
    }
    return std::move(stream).str();
}

std::optional<batch> decode_batch(std::string_view bytes)
{
    std::istringstream stream{std::string{bytes}};
    batch result;
    // cereal reports damaged input by exceptions. A damaged length can also
    // cause an allocation that fails with an exception.
    try
    {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(result);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
    for (const auto& item : result.records)
        if (item.kind > record_kind::entries_lost)
            return std::nullopt;
    return result;
}

} // namespace baobabloft::ledger
