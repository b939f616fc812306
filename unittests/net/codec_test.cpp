// Tests of the datagram codec: round trips, keys and malformed input.
#include "baobabloft/directory/change_log.hpp"
#include "baobabloft/dispatch/traffic_monitor.hpp"
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

TEST(codec, permit_request_round_trip)
{
    const auto decoded = round_trip(
        routing::permit_request{.sequence = 7,
                                .upstream = upstream_id{8},
                                .chat = chat_id{9},
                                .customer = customer_id{10},
                                .max_queue_wait_ms = 11,
                                .priority = routing::urgency::deferrable,
                                .may_queue = true,
                                .suspect = false,
                                .may_redirect = true});
    EXPECT_EQ(decoded.sequence, 7U);
    EXPECT_EQ(decoded.priority, routing::urgency::deferrable);
    EXPECT_TRUE(decoded.may_queue);
    EXPECT_FALSE(decoded.suspect);
    EXPECT_TRUE(decoded.may_redirect);
}

TEST(codec, largest_traffic_messages_round_trip)
{
    dispatch::traffic_monitor monitor;
    constexpr time_point now{1000s};
    for (std::uint32_t index = 0; index < 2000; ++index)
    {
        monitor.record_load(now, upstream_id{index}, index % 100, 250);
        monitor.record_request(now, dispatch::prefix_id{index % 40});
    }
    const auto report = monitor.take_report(now);
    const auto decoded_report = round_trip(report);
    EXPECT_EQ(decoded_report.prefixes, report.prefixes);
    EXPECT_EQ(decoded_report.loads.size(), report.loads.size());
    const auto summary = monitor.summarize(now);
    const auto decoded = round_trip(summary);
    ASSERT_EQ(decoded.loads.size(), summary.loads.size());
    ASSERT_EQ(decoded.hot_prefixes.size(), summary.hot_prefixes.size());
    EXPECT_EQ(decoded.loads.front().upstream, summary.loads.front().upstream);
    EXPECT_EQ(decoded.loads.front().load, summary.loads.front().load);
    EXPECT_EQ(decoded.loads.front().age_steps, summary.loads.front().age_steps);
    EXPECT_EQ(decoded.loads.front().work_steps, 25);
    EXPECT_EQ(decoded.hot_prefixes.front().prefix,
              summary.hot_prefixes.front().prefix);
    EXPECT_EQ(decoded.hot_prefixes.front().share_steps,
              summary.hot_prefixes.front().share_steps);
}

TEST(codec, gossip_round_trip)
{
    membership::ping original{.sequence = 3, .gossip = {.generation = 5}};
    original.gossip.members.push_back(
        {sender, 77, membership::member_state::suspect, 8080, 4});
    original.gossip.upstreams.push_back({upstream_id{1}, 2, true});
    original.gossip.crashes.push_back({fingerprint{1}, upstream_id{2}, 3});
    const auto decoded = round_trip(original);
    EXPECT_EQ(decoded.gossip.generation, 5U);
    EXPECT_EQ(decoded.gossip.members, original.gossip.members);
    EXPECT_EQ(decoded.gossip.upstreams, original.gossip.upstreams);
    EXPECT_EQ(decoded.gossip.crashes, original.gossip.crashes);
}

TEST(codec, largest_stored_response_round_trip)
{
    ledger::append_response original{.result =
                                         ledger::append_result::already_done};
    original.upstream_response = {201, true, "application/json",
                                  std::string(max_stored_body_bytes, 'x')};
    EXPECT_EQ(round_trip(original).upstream_response,
              original.upstream_response);
}

TEST(codec, directory_messages_round_trip)
{
    const auto query =
        round_trip(directory::change_query{.sequence = 7, .after = 8});
    EXPECT_EQ(query.sequence, 7U);
    EXPECT_EQ(query.after, 8U);
    directory::change_response original{.sequence = 7,
                                        .has_history = true,
                                        .has_more = true,
                                        .as_of_revision = 9,
                                        .confirmation_age_ms = 10,
                                        .entries = {}};
    original.entries.push_back({"key", "value", 9, false, true});
    const auto decoded = round_trip(original);
    EXPECT_TRUE(decoded.has_history);
    EXPECT_TRUE(decoded.has_more);
    EXPECT_EQ(decoded.as_of_revision, 9U);
    EXPECT_EQ(decoded.confirmation_age_ms, 10U);
    ASSERT_EQ(decoded.entries.size(), 1U);
    EXPECT_EQ(decoded.entries[0].key, "key");
    EXPECT_EQ(decoded.entries[0].value, "value");
    EXPECT_TRUE(decoded.entries[0].is_long);
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
    const std::vector features{request_feature{7}, request_feature{8}};
    const auto report = round_trip(routing::feature_crash_report{
        fingerprint{3}, upstream_id{4}, features});
    EXPECT_EQ(report.request, fingerprint{3});
    EXPECT_EQ(report.upstream, upstream_id{4});
    EXPECT_EQ(report.features, features);
    const auto success_query =
        round_trip(routing::success_query{features.front(), 900});
    EXPECT_EQ(success_query.feature, features.front());
    EXPECT_EQ(success_query.within_ms, 900U);
    EXPECT_EQ(round_trip(routing::features_cleared{features}).features,
              features);
    EXPECT_EQ(round_trip(routing::feature_quarantine{features}).features,
              features);
    EXPECT_EQ(round_trip(routing::older_successes{features}).features,
              features);
    const routing::quarantine_record record{
        .feature = features.front(),
        .is_whole_request = true,
        .trial_pause_ms = 10'000,
        .next_trial_ms = 700,
        .crashes = {{upstream_id{4}, 50}, {upstream_id{5}, 20}}};
    const auto trial = round_trip(routing::trial_query{6, {record}});
    EXPECT_EQ(trial.sequence, 6U);
    ASSERT_EQ(trial.records.size(), 1U);
    EXPECT_EQ(trial.records[0].feature, record.feature);
    EXPECT_TRUE(trial.records[0].is_whole_request);
    EXPECT_EQ(trial.records[0].trial_pause_ms, 10'000U);
    EXPECT_EQ(trial.records[0].next_trial_ms, 700U);
    ASSERT_EQ(trial.records[0].crashes.size(), 2U);
    EXPECT_EQ(trial.records[0].crashes[1].upstream, upstream_id{5});
    EXPECT_EQ(trial.records[0].crashes[1].age_ms, 20U);
    EXPECT_EQ(round_trip(routing::quarantine_notice{{record}}).records.size(),
              1U);
    const auto response = round_trip(routing::trial_response{6, true, 30});
    EXPECT_EQ(response.sequence, 6U);
    EXPECT_TRUE(response.granted);
    EXPECT_EQ(response.retry_ms, 30U);
    round_trip(routing::quarantine_query{});
    const auto history =
        round_trip(ledger::history_response{.sequence = 1,
                                            .shard = 2,
                                            .uptime_ms = 3,
                                            .view_age_ms = 4,
                                            .last_entry = 5,
                                            .entry_hash = 6,
                                            .lost_entries = true});
    EXPECT_EQ(history.shard, 2U);
    EXPECT_EQ(history.uptime_ms, 3U);
    EXPECT_EQ(history.view_age_ms, 4U);
    EXPECT_EQ(history.last_entry, 5U);
    EXPECT_EQ(history.entry_hash, 6U);
    EXPECT_TRUE(history.lost_entries);
    EXPECT_EQ(round_trip(ledger::history_query{7, 8}).shard, 8U);
}

TEST(codec, rollout_messages_round_trip)
{
    dispatch::rollout_report original{.rollout = dispatch::rollout_id{7},
                                      .lifetime = 8,
                                      .order_age_ms = 9,
                                      .requests = 70'000,
                                      .target_requests = 11,
                                      .others_in_progress = 12,
                                      .cells = {}};
    dispatch::rollout_cell cell{
        .route = 13, .upstream = upstream_id{14}, .responses = 65'535};
    cell.failures = 128;
    cell.latencies = {0, 127, 128, 16'383, 16'384, 65'535, 1, 2, 3, 4};
    original.cells.assign(24, cell);
    const auto decoded = round_trip(original);
    EXPECT_EQ(decoded.rollout, original.rollout);
    EXPECT_EQ(decoded.lifetime, 8U);
    EXPECT_EQ(decoded.order_age_ms, 9U);
    EXPECT_EQ(decoded.requests, 70'000U);
    EXPECT_EQ(decoded.target_requests, 11U);
    EXPECT_EQ(decoded.others_in_progress, 12U);
    ASSERT_EQ(decoded.cells.size(), 24U);
    EXPECT_EQ(decoded.cells[23].route, 13U);
    EXPECT_EQ(decoded.cells[23].upstream, upstream_id{14});
    EXPECT_EQ(decoded.cells[23].responses, 65'535U);
    EXPECT_EQ(decoded.cells[23].failures, 128U);
    EXPECT_EQ(decoded.cells[23].latencies, cell.latencies);
    const auto response = round_trip(
        dispatch::rollout_response{.rollout = dispatch::rollout_id{7},
                                   .stage = dispatch::rollout_stage::revert,
                                   .share_steps = 20,
                                   .order_age_ms = 21});
    EXPECT_EQ(response.rollout, dispatch::rollout_id{7});
    EXPECT_EQ(response.stage, dispatch::rollout_stage::revert);
    EXPECT_EQ(response.share_steps, 20U);
    EXPECT_EQ(response.order_age_ms, 21U);
}

TEST(codec, size_of_an_empty_change_response_is_bounded)
{
    // The estimate of the control traffic of a router that follows the
    // directory is based on this size.
    constexpr std::size_t max_packet_bytes = 65;
    const auto bytes =
        encode_datagram(keys, sender, directory::change_response{});
    EXPECT_LE(bytes.size() + datagram_header_bytes, max_packet_bytes);
}

TEST(codec, full_change_response_fits_in_a_datagram)
{
    directory::change_log log;
    for (directory::revision number = 1; number < 200; ++number)
        log.add({"servers/" + std::to_string(number), std::string(120, 'x'),
                 number, false});
    const auto response = log.changes_after(0, 200);
    EXPECT_TRUE(response.has_more);
    EXPECT_EQ(round_trip(response).entries.size(), response.entries.size());
}

TEST(codec, wrong_key_and_wrong_sender_are_rejected)
{
    failure reason;
    const auto bytes = encode_datagram(keys, sender, fleet::preset_notice{1});
    const datagram_keys other_keys{{"another secret of length"}};
    EXPECT_FALSE(decode_datagram(other_keys, sender, bytes, reason));
    EXPECT_EQ(reason.kind, failure_kind::wrong_key);
    EXPECT_FALSE(decode_datagram(keys, make_router_id(1, 1), bytes, reason));
    EXPECT_EQ(reason.kind, failure_kind::wrong_key);
}

TEST(codec, old_and_new_key_are_accepted_during_rotation)
{
    failure reason;
    const datagram_keys old_key_only{{"the old secret 123456"}};
    const datagram_keys new_key_first{
        {"the new secret 123456", "the old secret 123456"}};
    const auto signed_with_old_key =
        encode_datagram(old_key_only, sender, fleet::preset_notice{1});
    EXPECT_TRUE(
        decode_datagram(new_key_first, sender, signed_with_old_key, reason));
    const datagram_keys old_key_first{
        {"the old secret 123456", "the new secret 123456"}};
    const auto signed_with_new_key =
        encode_datagram(new_key_first, sender, fleet::preset_notice{1});
    EXPECT_TRUE(
        decode_datagram(old_key_first, sender, signed_with_new_key, reason));
}

TEST(kv_range, prefix_end_is_greater_than_every_key_with_the_prefix)
{
    EXPECT_EQ(prefix_end("a/"), "a0");
    EXPECT_LT(std::string{"a/zzz"}, prefix_end("a/"));
}

/// Signs arbitrary bytes, so that they pass the MAC check and reach the message
/// parser.
RC_GTEST_PROP(codec, arbitrary_signed_bytes_decode_or_are_malformed,
              (const std::string& body))
{
    failure reason;
    const auto mac = keys.sign(to_string(sender) + body);
    const std::string bytes =
        std::string{reinterpret_cast<const char*>(mac.data()), mac.size()} +
        body;
    if (!decode_datagram(keys, sender, bytes, reason))
        RC_ASSERT(reason.kind == failure_kind::malformed_message);
}

RC_GTEST_PROP(codec, truncated_datagrams_are_rejected, ())
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
