// Tests of failure texts, enumerator names, identifiers, rendezvous scores and
// conversions of numbers.
#include "baobabloft/support/failure.hpp"
#include "baobabloft/support/hash.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace baobabloft
{

namespace
{

TEST(failure_text, contains_kind_message_and_remedy)
{
    const failure reason{failure_kind::conflict, "too late", "try again"};
    EXPECT_EQ(reason.text(), "conflict: too late (try again)");
}

TEST(enum_names, looks_up_name_and_value)
{
    EXPECT_EQ(name_in(failure_kind_names, failure_kind::io), "io");
    EXPECT_EQ(value_in(failure_kind_names, "io"), failure_kind::io);
    EXPECT_FALSE(value_in(failure_kind_names, "nothing of the kind"));
}

TEST(router_id, prints_address_and_port)
{
    const auto id = make_router_id(0x7f000001, 7080);
    EXPECT_EQ(to_string(id), "127.0.0.1:7080");
    EXPECT_EQ(address_of(id), 0x7f000001U);
    EXPECT_EQ(port_of(id), 7080);
}

TEST(numbers, conversions_to_integers_saturate)
{
    constexpr double infinity = std::numeric_limits<double>::infinity();
    EXPECT_EQ(saturating_cast<std::uint32_t>(7.9), 7U);
    EXPECT_EQ(saturating_cast<std::int64_t>(-7.9), -7);
    EXPECT_EQ(saturating_cast<std::uint32_t>(4294967295.0), 4294967295U);
    EXPECT_EQ(saturating_cast<std::uint32_t>(4294967296.0), 4294967295U);
    EXPECT_EQ(saturating_cast<std::uint32_t>(-1), 0U);
    EXPECT_EQ(saturating_cast<std::uint64_t>(1e300), UINT64_MAX);
    EXPECT_EQ(saturating_cast<std::int64_t>(infinity), INT64_MAX);
    EXPECT_EQ(saturating_cast<std::int64_t>(-infinity), INT64_MIN);
    EXPECT_EQ(saturating_cast<std::int64_t>(std::nan("")), 0);
}

TEST(numbers, conversions_to_durations_stay_within_the_longest)
{
    EXPECT_EQ(from_seconds(1.5), 1500ms);
    EXPECT_EQ(from_seconds(-1.5), -1500ms);
    EXPECT_EQ(from_seconds(1e300), max_duration);
    EXPECT_EQ(from_seconds(-1e30), -max_duration);
    EXPECT_EQ(from_seconds(std::nan("")), 0ms);
}

RC_GTEST_PROP(rendezvous, removing_a_node_reassigns_only_its_keys, ())
{
    const auto nodes = *rc::gen::suchThat(
        rc::gen::unique<std::vector<std::uint64_t>>(
            rc::gen::arbitrary<std::uint64_t>()),
        [](const auto& candidates) { return candidates.size() >= 2; });
    const auto key = *rc::gen::arbitrary<std::uint64_t>();
    const auto winner_of = [key](const std::vector<std::uint64_t>& candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
                                 [key](auto left, auto right) {
                                     return rendezvous_score(key, left) <
                                            rendezvous_score(key, right);
                                 });
    };
    const auto winner = winner_of(nodes);
    auto remaining = nodes;
    const auto removed = *rc::gen::elementOf(nodes);
    std::erase(remaining, removed);
    if (removed != winner)
        RC_ASSERT(winner_of(remaining) == winner);
}

} // namespace

} // namespace baobabloft
