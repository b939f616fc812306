// Stable hashing (XXH3) and rendezvous scores. Values go on the wire, so they
// must be equal on every router.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabloft
{

/// Returns the 64-bit XXH3 hash of `bytes`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns a well mixed combination of two 64-bit values.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
/// Removing a node moves only the keys that it had won.
inline std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node)
{
    return hash_combine(key, node);
}

} // namespace baobabloft
