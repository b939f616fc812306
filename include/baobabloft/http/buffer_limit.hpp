// Chooses what to give up when all buffers of a router together hold too much.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace baobabloft::http
{

/// Bytes that one connection holds.
struct buffer_holder
{
    /// Upstream that sent them; empty for bytes that a caller sent or has not
    /// read.
    std::string_view upstream;
    std::size_t bytes = 0;
};

/// Returns the index of the holder to give up, or nothing if all together are
/// within `limit` bytes: the largest of the upstream, or of the caller, that
/// holds most.
[[nodiscard]] std::optional<std::size_t>
holder_to_release(std::span<const buffer_holder> holders, std::size_t limit);

} // namespace baobabloft::http
