// Bounds the work that one response may cost, so that an upstream which sends
// without end takes no time from other requests. Does no I/O.
#pragma once

#include "baobabloft/support/time.hpp"

#include <cstddef>

namespace baobabloft::http
{

/// The pace of one response.
class read_pace
{
public:
    /// Records that `pieces` parts of a body or events, of `bytes` in all, were
    /// processed. Returns for how long nothing more should be read; 0 if the
    /// response may go on.
    [[nodiscard]] duration record(time_point now, std::size_t pieces,
                                  std::size_t bytes);

private:
    /// When the work so far would have been done at the permitted pace.
    time_point paid_until_;
};

} // namespace baobabloft::http
