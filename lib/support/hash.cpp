#include "baobabloft/support/hash.hpp"

#include <xxhash.h>

namespace baobabloft
{

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right)
{
    return XXH3_64bits_withSeed(&left, sizeof left, right);
}

} // namespace baobabloft
