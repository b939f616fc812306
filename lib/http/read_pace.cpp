#include "baobabloft/http/read_pace.hpp"

#include <algorithm>

namespace baobabloft::http
{

namespace
{

constexpr duration time_per_piece = 250us;
/// Bytes that cost as much time as one piece.
constexpr std::size_t bytes_per_piece = 4096;
/// A response that was slower than permitted may be faster by this much.
constexpr duration burst = 2s;

} // namespace

duration read_pace::record(time_point now, std::size_t pieces,
                           std::size_t bytes)
{
    const auto work = pieces + bytes / bytes_per_piece;
    paid_until_ = std::max(paid_until_, now - burst) +
                  static_cast<duration::rep>(work) * time_per_piece;
    return std::max<duration>(paid_until_ - now, 0ms);
}

} // namespace baobabloft::http
