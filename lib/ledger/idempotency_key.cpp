#include "baobabloft/ledger/idempotency_key.hpp"

#include "baobabloft/support/hash.hpp"

namespace baobabloft::ledger
{

namespace
{

constexpr std::size_t text_length = 36;
constexpr std::size_t version_byte = 6;
constexpr std::size_t variant_byte = 8;
constexpr std::size_t timestamp_bytes = 6;

bool is_dash_position(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

bool is_version_7(const idempotency_key& key)
{
    return (key.bytes[version_byte] >> 4U) == 7 &&
           (key.bytes[variant_byte] >> 6U) == 2;
}

} // namespace

std::optional<idempotency_key> parse_idempotency_key(std::string_view text)
{
    if (text.size() != text_length)
        return std::nullopt;
    idempotency_key key;
    std::size_t digits = 0;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (is_dash_position(index))
        {
            if (text[index] != '-')
                return std::nullopt;
            continue;
        }
        const int value = hex_value(text[index]);
        if (value < 0)
            return std::nullopt;
        auto& byte = key.bytes[digits / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) |
                                         static_cast<unsigned>(value));
        ++digits;
    }
    if (!is_version_7(key))
        return std::nullopt;
    return key;
}

std::string to_string(const idempotency_key& key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(text_length);
    for (const auto byte : key.bytes)
    {
        if (is_dash_position(text.size()))
            text += '-';
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::uint64_t created_at_ms(const idempotency_key& key)
{
    std::uint64_t ms = 0;
    for (std::size_t index = 0; index < timestamp_bytes; ++index)
        ms = (ms << 8U) | key.bytes[index];
    return ms;
}

idempotency_key make_idempotency_key(std::uint64_t created_ms,
                                     std::uint64_t entropy_1,
                                     std::uint64_t entropy_2)
{
    idempotency_key key;
    for (std::size_t index = 0; index < timestamp_bytes; ++index)
        key.bytes[index] = static_cast<std::uint8_t>(
            created_ms >> (8 * (timestamp_bytes - 1 - index)));
    for (std::size_t index = 0; index < 2; ++index)
        key.bytes[version_byte + index] =
            static_cast<std::uint8_t>(entropy_1 >> (8 * index));
    for (std::size_t index = 0; index < 8; ++index)
        key.bytes[variant_byte + index] =
            static_cast<std::uint8_t>(entropy_2 >> (8 * index));
    key.bytes[version_byte] =
        static_cast<std::uint8_t>((key.bytes[version_byte] & 0x0fU) | 0x70U);
    key.bytes[variant_byte] =
        static_cast<std::uint8_t>((key.bytes[variant_byte] & 0x3fU) | 0x80U);
    return key;
}

std::uint32_t shard_of(const idempotency_key& key, std::uint32_t shard_count)
{
    const std::string_view bytes{
        reinterpret_cast<const char*>(key.bytes.data()), key.bytes.size()};
    return static_cast<std::uint32_t>(hash_bytes(bytes) % shard_count);
}

} // namespace baobabloft::ledger
