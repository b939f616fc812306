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

/// Returns a score in 0 to 1 with which `node` wins a part of all keys in
/// proportion to its `weight`, more than 0 and at most 1. A change of weight
/// moves only keys of that node.
double weighted_rendezvous_score(std::uint64_t key, std::uint64_t node,
                                 double weight);

} // namespace baobabloft
