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
void serialize(Archive& archive, stored_response& it)
{
    archive(it.status, it.complete, it.content_type, it.body);
}

template <typename Archive>
void save(Archive& archive, const record& it)
{
    archive(it.kind, it.key, it.attempt);
    if (it.kind == record_kind::done)
        archive(it.upstream_response);
}

template <typename Archive>
void load(Archive& archive, record& it)
{
    archive(it.kind, it.key, it.attempt);
    if (it.kind == record_kind::done)
        archive(it.upstream_response);
}

template <typename Archive>
void serialize(Archive& archive, batch& it)
{
    archive(it.nonce, it.low_water_mark_ms, it.records);
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
        if (item.kind > record_kind::done)
            return std::nullopt;
    return result;
}

} // namespace baobabloft::ledger
