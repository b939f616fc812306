// Datagrams: round trips, keys, and damaged input.
#include "baobabloft/directory/change_log.hpp"
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
    const auto after = round_trip(
        routing::permit_request{.sequence = 7,
                                .upstream = upstream_id{8},
                                .chat = chat_id{9},
                                .customer = customer_id{10},
                                .max_queue_wait_ms = 11,
                                .priority = routing::urgency::deferrable,
                                .may_queue = true,
                                .suspect = false,
                                .may_redirect = true});
    EXPECT_EQ(after.sequence, 7U);
    EXPECT_EQ(after.priority, routing::urgency::deferrable);
    EXPECT_TRUE(after.may_queue);
    EXPECT_FALSE(after.suspect);
    EXPECT_TRUE(after.may_redirect);
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
    ledger::append_response before{.result =
                                       ledger::append_result::already_done};
    before.upstream_response = {201, true, "application/json",
                                std::string(max_stored_body_bytes, 'x')};
    EXPECT_EQ(round_trip(before).upstream_response, before.upstream_response);
}

TEST(codec, keeps_what_routers_tell_of_the_directory)
{
    const auto ask =
        round_trip(directory::change_query{.sequence = 7, .after = 8});
    EXPECT_EQ(ask.sequence, 7U);
    EXPECT_EQ(ask.after, 8U);
    directory::change_response before{.sequence = 7,
                                      .has_history = true,
                                      .has_more = true,
                                      .as_of_revision = 9,
                                      .confirmation_age_ms = 10,
                                      .entries = {}};
    before.entries.push_back({"key", "value", 9, false, true});
    const auto after = round_trip(before);
    EXPECT_TRUE(after.has_history);
    EXPECT_TRUE(after.has_more);
    EXPECT_EQ(after.as_of_revision, 9U);
    EXPECT_EQ(after.confirmation_age_ms, 10U);
    ASSERT_EQ(after.entries.size(), 1U);
    EXPECT_EQ(after.entries[0].key, "key");
    EXPECT_EQ(after.entries[0].value, "value");
    EXPECT_TRUE(after.entries[0].is_long);
    EXPECT_EQ(round_trip(directory::change_notice{5}).revision, 5U);
    const auto entry_query = round_trip(
        directory::entry_query{.sequence = 3, .offset = 1000, .key = "key"});
    EXPECT_EQ(entry_query.sequence, 3U);
    EXPECT_EQ(entry_query.offset, 1000U);
    EXPECT_EQ(entry_query.key, "key");
    const auto part =
        round_trip(directory::entry_part{.sequence = 3,
                                         .total_bytes = 1500,
                                         .confirmation_age_ms = 20,
                                         .mod_revision = 9,
                                         .bytes = std::string(1000, 'x')});
    EXPECT_EQ(part.sequence, 3U);
    EXPECT_EQ(part.total_bytes, 1500U);
    EXPECT_EQ(part.confirmation_age_ms, 20U);
    EXPECT_EQ(part.mod_revision, 9U);
    EXPECT_EQ(part.bytes.size(), 1000U);
    const auto crash =
        round_trip(routing::crash_notice{fingerprint{3}, upstream_id{4}});
    EXPECT_EQ(crash.request, fingerprint{3});
    EXPECT_EQ(crash.upstream, upstream_id{4});
}

TEST(codec, a_calm_answer_about_the_directory_is_small)
{
    // The control traffic of a watching router is worked out from this.
    constexpr std::size_t calm_answer_bytes = 65;
    const auto bytes =
        encode_datagram(keys, sender, directory::change_response{});
    EXPECT_LE(bytes.size() + datagram_header_bytes, calm_answer_bytes);
}

TEST(codec, an_answer_full_of_changes_fits_a_datagram)
{
    directory::change_log log;
    for (directory::revision number = 1; number < 200; ++number)
        log.add({"servers/" + std::to_string(number), std::string(120, 'x'),
                 number, false});
    const auto answer = log.changes_after(0, 200);
    EXPECT_TRUE(answer.has_more);
    EXPECT_EQ(round_trip(answer).entries.size(), answer.entries.size());
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
