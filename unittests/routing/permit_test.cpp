// Permits between an owner and a client, without a network.
#include "baobabloft/routing/crash_tracker.hpp"
#include "baobabloft/routing/permit_client.hpp"
#include "baobabloft/routing/permit_owner.hpp"
#include "baobabloft/routing/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace baobabloft::routing
{

namespace
{

constexpr router_id self{100};
constexpr time_point start{100s};

config::preset_snapshot make_preset(std::size_t upstreams)
{
    auto accepted = std::make_shared<config::accepted_preset>();
    accepted->number = 1;
    accepted->value.data_centres.push_back({"dc", "region"});
    config::service service;
    service.name = "model";
    service.capacity = 10;
    service.load_floor = 10;
    service.queue_limit = 3;
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        const auto name = "u" + std::to_string(index);
        service.upstreams.push_back(
            {name, make_upstream_id(name), "dc", "10.0.0.1:1"});
    }
    accepted->value.services.push_back(service);
    return accepted;
}

/// An owner of all upstreams, each warm.
struct owner_fixture
{
    explicit owner_fixture(std::size_t upstreams = 1)
        : preset(make_preset(upstreams)), owner(self)
    {
        std::vector<permit_owner::owned_upstream> owned;
        for (std::size_t index = 0; index < upstreams; ++index)
            owned.push_back({0, static_cast<std::uint16_t>(index), true});
        owner.set_owned_upstreams(start, preset, owned, {{0, {self}, {}}});
        for (const auto& item : preset->value.services[0].upstreams)
            owner.handle_load_report(start, item.id,
                                     {.running = 0, .incarnation = 1});
    }

    [[nodiscard]] upstream_id id(std::size_t index) const
    {
        return preset->value.services[0].upstreams[index].id;
    }

    verdict ask(std::uint32_t sequence, bool may_queue = false,
                std::uint64_t chat = 0, bool suspect = false,
                time_point now = start)
    {
        owner.handle(
            now, requester,
            permit_request{.sequence = sequence,
                           .upstream = id(0),
                           .chat = chat_id{chat != 0 ? chat : sequence},
                           .max_queue_wait_ms = 5000,
                           .may_queue = may_queue,
                           .suspect = suspect,
                           .may_redirect = !may_queue});
        return owner.take_responses().back().response.decision;
    }

    void release(std::uint32_t sequence)
    {
        owner.handle(start, requester, permit_release{{{sequence}}});
    }

    [[nodiscard]] std::uint32_t load() const
    {
        return owner.status(start)[0].load;
    }

    router_id requester{7};
    config::preset_snapshot preset;
    permit_owner owner;
};

TEST(permit_owner, grants_up_to_the_limit_then_queues)
{
    owner_fixture at;
    std::uint32_t granted = 0;
    for (std::uint32_t sequence = 1; sequence <= 20; ++sequence)
        granted += at.ask(sequence) == verdict::granted ? 1 : 0;
    EXPECT_EQ(granted, 9U);
    EXPECT_EQ(at.ask(30, true), verdict::granted);
    EXPECT_EQ(at.ask(31, true), verdict::queued);
    at.release(30);
    const auto answers = at.owner.take_responses();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].response.sequence, 31U);
    EXPECT_EQ(at.load(), 10U);
}

TEST(permit_owner, repeated_asks_and_releases_count_once)
{
    owner_fixture at;
    EXPECT_EQ(at.ask(1), verdict::granted);
    EXPECT_EQ(at.ask(1), verdict::granted);
    EXPECT_EQ(at.load(), 1U);
    at.release(1);
    at.release(1);
    EXPECT_EQ(at.load(), 0U);
}

TEST(permit_owner, permits_of_lost_holders_end_by_lease)
{
    owner_fixture at;
    at.ask(1);
    at.owner.tick(start + 39s);
    EXPECT_EQ(at.load(), 1U);
    at.owner.tick(start + 41s);
    EXPECT_EQ(at.load(), 0U);
}

TEST(permit_owner, permits_of_dead_routers_end_at_once)
{
    owner_fixture at;
    at.ask(1);
    at.owner.set_live_routers(start, {self}, 0.5);
    EXPECT_EQ(at.load(), 0U);
}

TEST(permit_owner, a_displaced_chat_is_sent_back_to_its_warm_cache)
{
    owner_fixture at;
    for (std::uint32_t sequence = 1; sequence <= 20; ++sequence)
        at.ask(sequence);
    EXPECT_EQ(at.ask(40, false, 4711), verdict::at_limit);
    for (std::uint32_t sequence = 1; sequence <= 9; ++sequence)
        at.release(sequence);
    EXPECT_EQ(at.ask(41, false, 4711), verdict::cached_elsewhere);
    EXPECT_EQ(at.ask(42, true, 4711), verdict::granted);
    at.release(42);
    EXPECT_EQ(at.ask(43, false, 4711), verdict::granted);
}

TEST(permit_owner, suspects_run_one_at_a_time_until_their_first_token)
{
    owner_fixture at;
    EXPECT_EQ(at.ask(1, true, 1, true), verdict::granted);
    EXPECT_EQ(at.ask(2, true, 2, true), verdict::queued);
    EXPECT_EQ(at.ask(3, true, 3, false), verdict::queued);
    at.owner.handle(start, at.requester, suspect_cleared{1});
    EXPECT_EQ(at.owner.take_responses().size(), 2U);
}

TEST(permit_owner, a_closed_upstream_answers_those_that_wait)
{
    owner_fixture at;
    for (std::uint32_t sequence = 1; sequence <= 12; ++sequence)
        at.ask(sequence, true);
    at.owner.set_owned_upstreams(start, at.preset, {{0, 0, false}},
                                 {{0, {self}, {0}}});
    const auto answers = at.owner.take_responses();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].response.decision, verdict::unavailable);
    EXPECT_EQ(at.ask(50), verdict::unavailable);
}

TEST(permit_owner, a_full_queue_says_so)
{
    owner_fixture at;
    for (std::uint32_t sequence = 1; sequence <= 13; ++sequence)
        at.ask(sequence, true);
    EXPECT_EQ(at.ask(14, true), verdict::queue_full);
}

TEST(permit_owner, a_new_owner_learns_of_permits_from_their_holders)
{
    owner_fixture at;
    at.owner.handle(start, at.requester,
                    permit_renewal{{{1, at.id(0)}, {2, at.id(0)}}});
    EXPECT_EQ(at.load(), 2U);
    at.release(1);
    EXPECT_EQ(at.load(), 1U);
}

/// A client whose asks go to two owners.
struct client_fixture
{
    client_fixture() : client([this](upstream_id) { return owner; }, 0) {}

    permit_demand want(std::size_t candidates)
    {
        permit_demand result;
        for (std::size_t index = 0; index < candidates; ++index)
            result.candidates.push_back(
                upstream_id{static_cast<std::uint32_t>(index + 1)});
        result.start_deadline = start + 5s;
        return result;
    }

    void answer(permit_ticket ticket, verdict decision, time_point now = start)
    {
        client.handle(now, owner, {.sequence = ticket, .decision = decision});
    }

    template <typename Kind>
    std::vector<Kind> sent()
    {
        std::vector<Kind> result;
        for (const auto& item : client.take_messages())
            if (const auto* part = std::get_if<Kind>(&item.content))
                result.push_back(*part);
        return result;
    }

    router_id owner{50};
    permit_client client;
};

TEST(permit_client, goes_on_to_the_next_choice_and_queues_at_the_end)
{
    client_fixture at;
    const auto ticket = at.client.acquire(start, at.want(2));
    EXPECT_EQ(at.sent<permit_request>().size(), 1U);
    at.answer(ticket, verdict::at_limit);
    at.answer(ticket, verdict::at_limit);
    const auto asks = at.sent<permit_request>();
    ASSERT_EQ(asks.size(), 2U);
    EXPECT_TRUE(asks[1].may_queue);
    at.answer(ticket, verdict::granted);
    const auto decisions = at.client.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].result, permit_result::granted);
    EXPECT_EQ(at.client.held_count(), 1U);
}

TEST(permit_client, returns_a_grant_that_nobody_waits_for)
{
    client_fixture at;
    at.answer(77, verdict::granted);
    at.client.tick(start + 50ms);
    const auto releases = at.sent<permit_release>();
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_EQ(releases[0].permits[0].sequence, 77U);
}

TEST(permit_client, gives_up_at_the_latest_time)
{
    client_fixture at;
    at.client.acquire(start, at.want(1));
    for (auto now = start; now < start + 6s; now += 50ms)
        at.client.tick(now);
    const auto decisions = at.client.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(at.client.pending_count(), 0U);
}

TEST(permit_client, registers_its_permits_with_a_new_owner)
{
    client_fixture at;
    const auto ticket = at.client.acquire(start, at.want(1));
    at.answer(ticket, verdict::granted);
    at.owner = router_id{51};
    at.client.handle_view_change(start);
    const auto holds = at.sent<permit_renewal>();
    ASSERT_EQ(holds.size(), 1U);
    EXPECT_EQ(holds[0].permits[0].sequence, ticket);
}

TEST(permit_client, warns_the_owner_of_a_slow_first_token)
{
    client_fixture at;
    const auto ticket = at.client.acquire(start, at.want(1));
    at.client.handle(start, at.owner,
                     {.sequence = ticket,
                      .decision = verdict::granted,
                      .usual_first_token_ms = 100});
    at.client.tick(start + 200ms);
    EXPECT_TRUE(at.sent<slow_first_token>().empty());
    at.client.tick(start + 400ms);
    EXPECT_EQ(at.sent<slow_first_token>().size(), 1U);
    at.client.tick(start + 500ms);
    EXPECT_TRUE(at.sent<slow_first_token>().empty());
}

TEST(retry_budget, bounds_retries_to_a_share_of_requests)
{
    retry_budget budget{0.1};
    const customer_id customer{1};
    int retries = 0;
    for (int count = 0; count < 1000; ++count)
    {
        budget.record_first_attempt(start, customer);
        retries += budget.try_spend(start, customer) ? 1 : 0;
    }
    EXPECT_LE(retries, 104);
    EXPECT_GE(retries, 95);
}

TEST(crash_tracker, quarantines_after_two_crashes_of_different_upstreams)
{
    crash_tracker tracker;
    const fingerprint request{1};
    tracker.record_crash(start, request, upstream_id{1});
    tracker.record_crash(start + 100ms, request, upstream_id{1});
    EXPECT_EQ(tracker.state_of(start, request), crash_state::suspect);
    tracker.record_crash(start + 1s, request, upstream_id{2});
    EXPECT_EQ(tracker.state_of(start + 1s, request), crash_state::quarantined);
    EXPECT_EQ(tracker.state_of(start + 700s, request), crash_state::clear);
}

TEST(crash_tracker, an_answer_clears_a_bystander)
{
    crash_tracker tracker;
    const fingerprint request{1};
    tracker.record_crash(start, request, upstream_id{1});
    tracker.clear_suspicion(request);
    tracker.record_crash(start + 1s, request, upstream_id{2});
    EXPECT_EQ(tracker.state_of(start + 1s, request), crash_state::suspect);
}

RC_GTEST_PROP(permit_owner, never_grants_past_the_limit, ())
{
    owner_fixture at;
    time_point now = start;
    std::uint32_t sequence = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps)
    {
        now += duration{step * 20'000};
        const auto some = static_cast<std::uint32_t>(step) % (sequence + 1);
        switch (step % 5)
        {
        case 0:
            at.owner.handle(now, at.requester, permit_release{{{some}}});
            break;
        case 1:
            at.owner.handle(now, at.requester, permit_cancel{some});
            break;
        case 2:
            at.owner.tick(now);
            break;
        default:
            at.owner.handle(now, at.requester,
                            permit_request{.sequence = ++sequence,
                                           .upstream = at.id(0),
                                           .chat = chat_id{some},
                                           .max_queue_wait_ms = 3000,
                                           .may_queue = step % 2 == 0});
        }
        const auto status = at.owner.status(now)[0];
        RC_ASSERT(status.load <= 10U);
        RC_ASSERT(status.waiting <= 3U);
    }
}

} // namespace

} // namespace baobabloft::routing
