// Datagrams: round trips, keys, and damaged input.
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/kv_client.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace baobabloft::net
{

namespace
{

constexpr router_id sender = make_router_id(0x7f000001, 7080);
const datagram_keys keys{{"a secret of some length"}};

template <typename Kind>
Kind round_trip(const Kind& content)
{
    failure reason;
    const auto bytes = encode_datagram(keys, sender, content);
    EXPECT_LE(bytes.size(), max_datagram_bytes);
    const auto decoded = decode_datagram(keys, sender, bytes, reason);
    EXPECT_TRUE(decoded) << reason.text();
    return std::get<Kind>(*decoded);
}

TEST(codec, keeps_an_ask)
{
    const auto after =
        round_trip(routing::permit_ask{.sequence = 7,
                                       .upstream = upstream_id{8},
                                       .chat = chat_id{9},
                                       .customer = customer_id{10},
                                       .patience_ms = 11,
                                       .priority = routing::urgency::deferrable,
                                       .may_queue = true,
                                       .suspect = false,
                                       .first_choice = true});
    EXPECT_EQ(after.sequence, 7U);
    EXPECT_EQ(after.priority, routing::urgency::deferrable);
    EXPECT_TRUE(after.may_queue);
    EXPECT_FALSE(after.suspect);
    EXPECT_TRUE(after.first_choice);
}

TEST(codec, keeps_gossip)
{
    membership::ping before{.sequence = 3, .gossip = {.generation = 5}};
    before.gossip.members.push_back(
        {sender, 77, membership::member_state::suspect, 8080, 4});
    before.gossip.upstreams.push_back({upstream_id{1}, 2, true});
    before.gossip.crashes.push_back({fingerprint{1}, upstream_id{2}, 3});
    const auto after = round_trip(before);
    EXPECT_EQ(after.gossip.generation, 5U);
    EXPECT_EQ(after.gossip.members, before.gossip.members);
    EXPECT_EQ(after.gossip.upstreams, before.gossip.upstreams);
    EXPECT_EQ(after.gossip.crashes, before.gossip.crashes);
}

TEST(codec, keeps_a_stored_answer_of_the_largest_size)
{
    ledger::append_reply before{.result = ledger::append_result::already_done};
    before.answer = {201, true, "application/json",
                     std::string(max_stored_body_bytes, 'x')};
    EXPECT_EQ(round_trip(before).answer, before.answer);
}

TEST(codec, refuses_a_wrong_key_and_a_wrong_sender)
{
    failure reason;
    const auto bytes = encode_datagram(keys, sender, fleet::preset_notice{1});
    const datagram_keys other{{"another secret of length"}};
    EXPECT_FALSE(decode_datagram(other, sender, bytes, reason));
    EXPECT_EQ(reason.kind, failure_kind::wrong_key);
    EXPECT_FALSE(decode_datagram(keys, make_router_id(1, 1), bytes, reason));
    EXPECT_EQ(reason.kind, failure_kind::wrong_key);
}

TEST(codec, keys_rotate_without_a_gap)
{
    failure reason;
    const datagram_keys old_only{{"the old secret 123456"}};
    const datagram_keys both{
        {"the new secret 123456", "the old secret 123456"}};
    const auto from_old =
        encode_datagram(old_only, sender, fleet::preset_notice{1});
    EXPECT_TRUE(decode_datagram(both, sender, from_old, reason));
    const datagram_keys prepared{
        {"the old secret 123456", "the new secret 123456"}};
    const auto from_new =
        encode_datagram(both, sender, fleet::preset_notice{1});
    EXPECT_TRUE(decode_datagram(prepared, sender, from_new, reason));
}

TEST(kv_range, ends_behind_every_key_with_the_prefix)
{
    EXPECT_EQ(prefix_end("a/"), "a0");
    EXPECT_LT(std::string{"a/zzz"}, prefix_end("a/"));
}

/// Signs arbitrary bytes, so that the parser behind the MAC is reached.
RC_GTEST_PROP(codec, damaged_datagrams_give_an_error_and_nothing_else,
              (const std::string& junk))
{
    failure reason;
    const auto code = keys.sign(to_string(sender) + junk);
    const std::string bytes =
        std::string{reinterpret_cast<const char*>(code.data()), code.size()} +
        junk;
    if (!decode_datagram(keys, sender, bytes, reason))
        RC_ASSERT(reason.kind == failure_kind::malformed_message);
}

RC_GTEST_PROP(codec, truncated_datagrams_are_refused, ())
{
    membership::member_list content;
    const auto count = *rc::gen::inRange<std::size_t>(0, 30);
    content.members.resize(count);
    const auto bytes = encode_datagram(keys, sender, content);
    const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
    failure reason;
    RC_ASSERT(!decode_datagram(keys, sender, bytes.substr(0, size), reason));
}

} // namespace

} // namespace baobabloft::net
