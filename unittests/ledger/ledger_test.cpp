// Tests of the at-most-once ledger: idempotency keys, batches, applying a log,
// and concurrent appenders over a KV service whose responses can be lost.
#include "baobabloft/ledger/appender.hpp"
#include "baobabloft/ledger/claim_client.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace baobabloft::ledger
{

namespace
{

constexpr std::uint64_t wall_ms = 1'700'000'000'000;

idempotency_key make_key(std::uint64_t number, std::uint64_t at_ms = wall_ms)
{
    return make_idempotency_key(at_ms, number, number * 77);
}

record claim_of(const idempotency_key& key, std::uint64_t attempt)
{
    return {record_kind::claimed, key, attempt, {}};
}

TEST(idempotency_key, parses_and_prints_only_version_7_uuids)
{
    const auto key = make_key(5);
    EXPECT_EQ(parse_idempotency_key(to_string(key)), key);
    EXPECT_EQ(created_at_ms(key), wall_ms);
    EXPECT_FALSE(parse_idempotency_key("5fc03087-d265-4d4f-9c0e-4d7b4a1d3c11"));
    EXPECT_FALSE(parse_idempotency_key(""));
    EXPECT_FALSE(parse_idempotency_key(to_string(key) + "0"));
}

TEST(batch, round_trips_and_rejects_damaged_bytes)
{
    batch content{.nonce = 1, .low_water_mark_ms = 2, .records = {}};
    content.records.push_back(claim_of(make_key(1), 9));
    content.records.push_back(
        {record_kind::done, make_key(2), 8, {200, true, "text/plain", "ok"}});
    const auto bytes = encode_batch(content);
    EXPECT_EQ(decode_batch(bytes), content);
    EXPECT_FALSE(decode_batch(bytes.substr(0, bytes.size() - 3)));
    EXPECT_FALSE(decode_batch(""));
}

TEST(shard_state, first_claim_wins_and_only_its_attempt_can_release_it)
{
    shard_state state;
    const auto key = make_key(1);
    state.apply(1, {1, 0, {claim_of(key, 10), claim_of(key, 11)}});
    EXPECT_EQ(state.find(key).attempt, 10U);
    state.apply(2, {2, 0, {{record_kind::released, key, 11, {}}}});
    EXPECT_EQ(state.find(key).status, key_status::claimed);
    state.apply(3, {3, 0, {{record_kind::released, key, 10, {}}}});
    EXPECT_EQ(state.find(key).status, key_status::free);
}

TEST(shard_state, attempt_cannot_claim_again_after_release)
{
    shard_state state;
    const auto key = make_key(1);
    state.apply(1, {1, 0, {claim_of(key, 10)}});
    state.apply(2, {2, 0, {{record_kind::released, key, 10, {}}}});
    state.apply(3, {3, 0, {claim_of(key, 10)}});
    EXPECT_EQ(state.find(key).status, key_status::free);
    state.apply(4, {4, 0, {claim_of(key, 11)}});
    EXPECT_EQ(state.find(key).attempt, 11U);
}

TEST(shard_state, keys_below_low_water_mark_are_never_free)
{
    shard_state state;
    const auto old_key = make_key(1, wall_ms - 1000);
    state.apply(1, {1, 0, {claim_of(old_key, 10)}});
    state.apply(2, {2, wall_ms, {}});
    EXPECT_EQ(state.find(old_key).status, key_status::below_low_water_mark);
    state.apply(3, {3, 0, {claim_of(old_key, 12)}});
    EXPECT_EQ(state.find(old_key).status, key_status::below_low_water_mark);
    EXPECT_EQ(state.first_needed_entry(), 3U);
}

/// The log of one shard as the KV service stores it.
struct fake_log
{
    std::map<entry_number, std::string> entries;
    bool marker_exists = false;

    bool create(const create_entry& action)
    {
        const auto previous = entries.find(action.number - 1);
        const bool has_predecessor =
            action.number == 1 ? !marker_exists
                               : previous != entries.end() &&
                                     previous->second == action.predecessor;
        if (!has_predecessor || entries.contains(action.number))
            return false;
        marker_exists = true;
        entries[action.number] = action.bytes;
        return true;
    }

    [[nodiscard]] std::vector<log_entry> read(const read_entries& action) const
    {
        std::vector<log_entry> result;
        for (auto entry = entries.lower_bound(action.first.value_or(0));
             entry != entries.end() && result.size() < action.limit; ++entry)
            result.push_back({entry->first, entry->second});
        return result;
    }

    void erase(const delete_entries& action)
    {
        entries.erase(entries.lower_bound(action.first),
                      entries.lower_bound(action.end));
    }
};

/// An appender whose actions run against a fake_log, with injected faults.
struct test_appender
{
    explicit test_appender(std::uint64_t seed, duration retention = 600s)
        : log(appender_options{
              .writes_per_second = 1e6,
              .retention =
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      retention),
              .seed = seed})
    {
    }

    enum class fault
    {
        none,
        request_lost,
        response_lost
    };

    void run_one(fake_log& store, time_point now, fault injected)
    {
        for (auto& action : log.take_actions())
            pending_actions.push_back(std::move(action));
        if (pending_actions.empty())
            return;
        const auto action = pending_actions.front();
        pending_actions.erase(pending_actions.begin());
        if (const auto* read = std::get_if<read_entries>(&action))
        {
            if (injected == fault::none)
                log.on_entries_read(now, store.read(*read));
            else
                log.on_read_failed(now);
        }
        else if (const auto* create = std::get_if<create_entry>(&action))
        {
            const bool created =
                injected != fault::request_lost && store.create(*create);
            if (injected == fault::none)
                log.on_entry_created(now, created);
            else
                log.on_create_unconfirmed(now);
        }
        else if (const auto* erase = std::get_if<delete_entries>(&action))
        {
            if (injected != fault::request_lost)
                store.erase(*erase);
            if (injected == fault::none)
                log.on_entries_deleted(erase->end);
        }
        else if (const auto* check = std::get_if<check_history>(&action))
            log.on_history_checked(now, *check, {.covered = covered});
    }

    void run_all(fake_log& store, time_point now)
    {
        for (int count = 0; count < 100; ++count)
            run_one(store, now, fault::none);
    }

    std::vector<append_result> results()
    {
        std::vector<append_result> all;
        for (const auto& outcome : log.take_outcomes())
            all.push_back(outcome.response.result);
        return all;
    }

    appender log;
    std::vector<log_action> pending_actions;
    /// Result of all history checks.
    duration covered = max_duration;
};

constexpr time_point start{100s};

TEST(appender, batches_many_records_into_one_entry)
{
    fake_log store;
    test_appender one{1};
    for (std::uint32_t number = 0; number < 50; ++number)
        one.log.submit(start, wall_ms, {1, number},
                       claim_of(make_key(number), number + 1));
    one.run_all(store, start);
    EXPECT_EQ(one.results().size(), 50U);
    EXPECT_LE(store.entries.size(), 2U);
}

TEST(appender,
     paused_appender_refuses_claim_after_another_appender_accepted_one)
{
    fake_log store;
    test_appender slow{1};
    test_appender fast{2};
    const auto key = make_key(1);
    slow.log.submit(start, wall_ms, {1, 1}, claim_of(key, 100));
    slow.run_one(store, start, test_appender::fault::none);
    fast.log.submit(start, wall_ms, {2, 1}, claim_of(key, 200));
    fast.run_all(store, start);
    slow.run_all(store, start);
    EXPECT_EQ(fast.results(), std::vector{append_result::accepted});
    EXPECT_EQ(slow.results(), std::vector{append_result::claimed_by_other});
}

TEST(appender, lost_write_response_is_resolved_by_reading_the_log)
{
    fake_log store;
    test_appender one{1};
    one.log.submit(start, wall_ms, {1, 1}, claim_of(make_key(1), 100));
    one.run_one(store, start, test_appender::fault::none);
    one.run_one(store, start, test_appender::fault::response_lost);
    EXPECT_TRUE(one.results().empty());
    one.log.tick(start + 5s, wall_ms);
    one.run_all(store, start + 5s);
    EXPECT_EQ(one.results(), std::vector{append_result::accepted});
    EXPECT_EQ(store.entries.size(), 1U);
}

TEST(appender, stale_appender_cannot_write_into_compacted_log)
{
    fake_log store;
    test_appender stale{1};
    test_appender busy{2, 1s};
    stale.log.submit(start, wall_ms, {1, 1}, claim_of(make_key(1), 1));
    stale.run_all(store, start);
    for (std::uint32_t number = 2; number < 40; ++number)
    {
        const auto now_ms = wall_ms + number * 1000;
        const auto now = start + number * 10s;
        busy.log.submit(now, now_ms, {2, number},
                        claim_of(make_key(number, now_ms), number));
        busy.run_all(store, now);
        busy.log.tick(now, now_ms);
        busy.run_all(store, now);
    }
    ASSERT_FALSE(store.entries.contains(2)) << "nothing was compacted";
    const auto claimed_key = make_key(39, wall_ms + 39000);
    stale.log.submit(start + 500s, wall_ms + 39000, {1, 2},
                     claim_of(claimed_key, 999));
    stale.run_all(store, start + 500s);
    const auto results = stale.results();
    EXPECT_EQ(results.back(), append_result::claimed_by_other);
}

/// Submits a claim of `key` by `attempt` and returns the results so far.
std::vector<append_result> claim_at(test_appender& target, fake_log& store,
                                    const idempotency_key& key,
                                    std::uint32_t attempt)
{
    const auto now = start + attempt * 10s;
    target.log.submit(now, wall_ms, {1, attempt}, claim_of(key, attempt));
    target.run_all(store, now);
    return target.results();
}

// Guards against an appender that extends a log which was restored from an
// older copy and grew again to the number of its own last entry: it did not
// know the claims in these entries and accepted them a second time.
TEST(appender, does_not_extend_a_log_that_was_replaced_under_its_last_entry)
{
    fake_log store;
    test_appender old{1};
    claim_at(old, store, make_key(1), 1);
    const auto copy = store;
    claim_at(old, store, make_key(2), 2);
    store = copy;
    test_appender fresh{2};
    ASSERT_EQ(claim_at(fresh, store, make_key(3), 3),
              std::vector{append_result::accepted});
    EXPECT_EQ(claim_at(old, store, make_key(3), 4),
              std::vector{append_result::claimed_by_other});
}

// Guards against a claim that is forgotten with its entry and accepted again,
// by the appender that wrote it or by any other, and against an appender that
// accepts no claim any more.
TEST(appender, stores_lost_claims_again_and_refuses_keys_that_may_be_lost)
{
    fake_log store;
    test_appender one{1};
    claim_at(one, store, make_key(1), 1);
    const auto copy = store;
    claim_at(one, store, make_key(2), 2);
    claim_at(one, store, make_key(3), 3);
    store = copy;
    EXPECT_EQ(claim_at(one, store, make_key(4, wall_ms + 1), 4),
              std::vector{append_result::accepted});
    test_appender fresh{2};
    using enum append_result;
    EXPECT_EQ(claim_at(fresh, store, make_key(2), 5),
              std::vector{claimed_by_other});
    EXPECT_EQ(claim_at(fresh, store, make_key(5), 6),
              std::vector{below_low_water_mark});
    EXPECT_EQ(claim_at(fresh, store, make_key(6, wall_ms + 1), 7),
              std::vector{accepted});
}

// Guards against an appender without memory that accepts the key of a lost
// claim although its router has seen that the KV service was restored.
TEST(appender, refuses_older_keys_after_a_possible_loss)
{
    fake_log store;
    test_appender one{1};
    claim_at(one, store, make_key(1), 1);
    one.log.handle_possible_loss(start + 15s, wall_ms, wall_ms - 1);
    one.run_all(store, start + 15s);
    using enum append_result;
    EXPECT_EQ(claim_at(one, store, make_key(2), 2),
              std::vector{below_low_water_mark});
    EXPECT_EQ(claim_at(one, store, make_key(1), 3),
              std::vector{claimed_by_other});
    EXPECT_EQ(claim_at(one, store, make_key(3, wall_ms + 1), 4),
              std::vector{accepted});
}

// Guards against an appender that reads the log of a restored KV service for
// the first time and accepts a key whose claim was lost.
TEST(appender, refuses_keys_older_than_the_covered_history)
{
    fake_log store;
    test_appender one{1};
    one.covered = 2s;
    one.log.submit(start, wall_ms, {1, 1},
                   claim_of(make_key(1, wall_ms - 3000), 100));
    one.log.submit(start, wall_ms, {1, 2},
                   claim_of(make_key(2, wall_ms - 1000), 101));
    one.run_all(store, start);
    EXPECT_EQ(one.results(), (std::vector{append_result::below_low_water_mark,
                                          append_result::accepted}));
    // After a gap in the contact with the service, the history is checked
    // again.
    one.covered = 0s;
    one.log.submit(start + 5s, wall_ms + 5000, {1, 3},
                   claim_of(make_key(3, wall_ms + 4000), 102));
    one.run_all(store, start + 5s);
    EXPECT_EQ(one.results(), std::vector{append_result::below_low_water_mark});
}

TEST(store_view, ends_with_a_gap_between_responses)
{
    store_view view;
    EXPECT_FALSE(view.age(start));
    for (int count = 0; count <= 10; ++count)
        view.record_response(start + count * 200ms, start + count * 200ms);
    EXPECT_EQ(view.age(start + 2s), 2s);
    EXPECT_FALSE(view.age(start + 3s));
    view.record_response(start + 3s, start + 3s);
    EXPECT_EQ(view.age(start + 3s), 0s);
}

TEST(appender, refuses_old_keys_and_keys_from_the_future)
{
    fake_log store;
    test_appender one{1, 10s};
    one.log.submit(start, wall_ms, {1, 1}, claim_of(make_key(1), 1));
    one.run_all(store, start);
    const auto later_ms = wall_ms + 60'000;
    one.log.submit(start, later_ms, {1, 2}, claim_of(make_key(2, later_ms), 2));
    one.run_all(store, start);
    const auto now = start + 10s;
    one.log.submit(now, later_ms, {1, 3},
                   claim_of(make_key(3, wall_ms + 1), 3));
    one.log.submit(now, later_ms, {1, 4},
                   claim_of(make_key(4, later_ms + 120'000), 4));
    one.run_all(store, now);
    auto results = one.results();
    std::sort(results.begin(), results.end());
    EXPECT_EQ(results,
              (std::vector{append_result::accepted, append_result::accepted,
                           append_result::below_low_water_mark,
                           append_result::key_from_future}));
}

TEST(appender, one_fast_clock_does_not_push_keys_below_low_water_mark)
{
    fake_log store;
    test_appender one{1, 10s};
    one.log.submit(start, wall_ms, {1, 1}, claim_of(make_key(1), 1));
    one.run_all(store, start);
    one.log.tick(start, wall_ms + 3'600'000);
    one.log.submit(start, wall_ms + 3'600'000, {1, 2},
                   claim_of(make_key(2, wall_ms + 10), 2));
    one.run_all(store, start);
    EXPECT_EQ(one.results(),
              (std::vector{append_result::accepted, append_result::accepted}));
}

TEST(appender, later_attempts_get_stored_response_of_done_key)
{
    fake_log store;
    test_appender one{1};
    test_appender two{2};
    const auto key = make_key(1);
    one.log.submit(start, wall_ms, {1, 1}, claim_of(key, 5));
    one.run_all(store, start);
    one.log.submit(start, wall_ms, {1, 2},
                   {record_kind::done, key, 5, {200, true, "t", "body"}});
    one.run_all(store, start);
    two.log.submit(start, wall_ms, {2, 1}, claim_of(key, 6));
    two.run_all(store, start);
    const auto outcomes = two.log.take_outcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].response.result, append_result::already_done);
    EXPECT_EQ(outcomes[0].response.upstream_response.body, "body");
}

RC_GTEST_PROP(appender, no_key_is_claimed_by_two_attempts, ())
{
    // Three appenders over one log: any order of steps, lost requests and
    // responses, restarts, and a retention short enough for compaction.
    fake_log store;
    std::vector<std::unique_ptr<test_appender>> appenders;
    std::uint64_t seed = 0;
    for (int count = 0; count < 3; ++count)
        appenders.push_back(std::make_unique<test_appender>(++seed, 2s));
    std::map<std::uint32_t, std::pair<idempotency_key, std::uint64_t>> attempts;
    std::map<idempotency_key, std::uint64_t> accepted_attempts;
    std::set<std::uint64_t> released;
    std::uint32_t sequence = 0;
    time_point now = start;
    std::uint64_t clock_ms = wall_ms;
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 3000));
    for (const int step : steps)
    {
        auto& chosen = *appenders[static_cast<std::size_t>(step) % 3];
        now += 100ms;
        clock_ms += 100;
        switch (step / 3 % 8)
        {
        case 0:
        case 1:
        {
            const auto number = static_cast<std::uint64_t>(step) % 5;
            const auto created = wall_ms + (clock_ms - wall_ms) / 1000 * 1000;
            const auto key = make_key(number, created);
            attempts[++sequence] = {key, sequence};
            chosen.log.submit(now, clock_ms, {1, sequence},
                              claim_of(key, sequence));
            break;
        }
        case 2:
            chosen.run_one(store, now, test_appender::fault::request_lost);
            break;
        case 3:
            chosen.run_one(store, now, test_appender::fault::response_lost);
            break;
        case 4:
            if (step % 5 == 0)
                appenders[static_cast<std::size_t>(step) % 3] =
                    std::make_unique<test_appender>(++seed, 2s);
            break;
        case 5:
            chosen.log.tick(now + 61s * (step % 2), clock_ms);
            break;
        default:
            chosen.run_one(store, now, test_appender::fault::none);
        }
        for (auto& item : appenders)
            for (const auto& outcome : item->log.take_outcomes())
            {
                if (outcome.response.result != append_result::accepted)
                    continue;
                const auto found = attempts.find(outcome.ticket.sequence);
                if (found == attempts.end())
                    continue;
                const auto [key, attempt] = found->second;
                const auto [accepted, inserted] =
                    accepted_attempts.try_emplace(key, attempt);
                RC_ASSERT(inserted || accepted->second == attempt);
            }
    }
}

// Guards against a claim that is accepted twice because its entry was lost when
// the KV service was restored from an older copy, at any moment and repeatedly.
RC_GTEST_PROP(appender, no_lost_claim_is_accepted_again, ())
{
    fake_log store;
    fake_log copy;
    std::vector<test_appender> appenders{
        test_appender{1, 2s}, test_appender{2, 2s}, test_appender{3, 2s}};
    std::map<idempotency_key, std::uint32_t> accepted_attempts;
    std::vector<idempotency_key> keys;
    time_point now = start;
    std::uint64_t clock_ms = wall_ms;
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 6000));
    for (const int step : steps)
    {
        auto& chosen = appenders[static_cast<std::size_t>(step) % 3];
        now += 100ms;
        clock_ms += 100;
        const auto action = step / 3 % 20;
        if (action < 7)
        {
            const auto created = clock_ms / 1000 * 1000;
            keys.push_back(
                make_key(static_cast<std::uint64_t>(step) % 5, created));
            chosen.log.submit(now, clock_ms,
                              {1, static_cast<std::uint32_t>(keys.size() - 1)},
                              claim_of(keys.back(), keys.size()));
        }
        else if (action == 7)
            copy = store;
        else if (action == 8)
        {
            store = copy;
            for (auto& item : appenders)
                item.log.handle_possible_loss(now, clock_ms, clock_ms - 1);
        }
        else
            chosen.run_one(store, now,
                           action == 9 ? test_appender::fault::response_lost
                                       : test_appender::fault::none);
        chosen.log.tick(now, clock_ms);
        for (auto& item : appenders)
            for (const auto& outcome : item.log.take_outcomes())
            {
                if (outcome.response.result != append_result::accepted)
                    continue;
                const auto sequence = outcome.ticket.sequence;
                const auto [accepted, inserted] =
                    accepted_attempts.try_emplace(keys[sequence], sequence);
                RC_ASSERT(inserted || accepted->second == sequence);
            }
    }
}

TEST(claim_client, ignores_response_to_request_from_before_restart)
{
    claim_client client{
        1, [](std::uint32_t) { return std::vector{router_id{1}}; }, 1};
    client.claim(start, make_key(1), start + 3s);
    const auto request = client.take_requests()[0].request;
    client.handle(start, {.sequence = request.sequence,
                          .attempt = request.content.attempt + 1});
    EXPECT_TRUE(client.take_decisions().empty());
    client.handle(start, {.sequence = request.sequence,
                          .attempt = request.content.attempt});
    ASSERT_EQ(client.take_decisions().size(), 1U);
}

TEST(claim_client, tries_next_appender_if_one_does_not_respond)
{
    claim_client client{1,
                        [](std::uint32_t) {
                            return std::vector{router_id{1}, router_id{2}};
                        },
                        1};
    client.claim(start, make_key(1), start + 10s);
    std::set<router_id> contacted;
    for (auto now = start; now < start + 3s; now += 50ms)
    {
        client.tick(now);
        for (const auto& item : client.take_requests())
            contacted.insert(item.to);
    }
    EXPECT_EQ(contacted.size(), 2U);
}

TEST(claim_client, releases_claim_accepted_after_deadline)
{
    claim_client client{
        1, [](std::uint32_t) { return std::vector{router_id{1}}; }, 1};
    client.claim(start, make_key(1), start + 1s);
    const auto request = client.take_requests()[0].request;
    client.tick(start + 2s);
    const auto decisions = client.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].result, claim_result::unconfirmed);
    client.handle(start + 3s, {.sequence = request.sequence,
                               .attempt = request.content.attempt});
    const auto next = client.take_requests();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].request.content.kind, record_kind::released);
    EXPECT_TRUE(client.take_decisions().empty());
}

} // namespace

} // namespace baobabloft::ledger
