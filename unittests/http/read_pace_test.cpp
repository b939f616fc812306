#include "baobabloft/http/read_pace.hpp"

#include <gtest/gtest.h>

namespace baobabloft::http
{

namespace
{

constexpr time_point start{1000s};

TEST(read_pace, usual_streams_and_large_responses_are_not_paused)
{
    read_pace stream;
    read_pace large;
    for (auto now = start; now < start + 60s; now += 10ms)
        EXPECT_EQ(stream.record(now, 2, 200), 0ms);
    // 16 MB at once, in reads of 16 kB.
    for (int reads = 0; reads < 1024; ++reads)
        EXPECT_EQ(large.record(start, 1, 16'384), 0ms);
}

TEST(read_pace, small_pieces_without_end_are_slowed_down)
{
    read_pace pace;
    auto now = start;
    std::size_t pieces = 0;
    while (now < start + 10s)
    {
        now += pace.record(now, 3'000, 16'384);
        pieces += 3'000;
    }
    // 4,000 a second after 8,000 at once.
    EXPECT_LE(pieces, 52'000U);
    EXPECT_GE(pieces, 45'000U);
}

} // namespace

} // namespace baobabloft::http
