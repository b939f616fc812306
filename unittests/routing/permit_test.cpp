// Tests permit owners and clients without a network, retry budgets and crash
// tracking.
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
    accepted->generation_number = 1;
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

/// An owner of all upstreams, each of which is warm.
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

    verdict request_permit(std::uint32_t sequence, bool may_queue = false,
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
    owner_fixture fixture;
    std::uint32_t granted = 0;
    for (std::uint32_t sequence = 1; sequence <= 20; ++sequence)
        granted += fixture.request_permit(sequence) == verdict::granted ? 1 : 0;
    EXPECT_EQ(granted, 9U);
    EXPECT_EQ(fixture.request_permit(30, true), verdict::granted);
    EXPECT_EQ(fixture.request_permit(31, true), verdict::queued);
    fixture.release(30);
    const auto responses = fixture.owner.take_responses();
    ASSERT_EQ(responses.size(), 1U);
    EXPECT_EQ(responses[0].response.sequence, 31U);
    EXPECT_EQ(fixture.load(), 10U);
}

TEST(permit_owner, repeated_requests_and_releases_count_once)
{
    owner_fixture fixture;
    EXPECT_EQ(fixture.request_permit(1), verdict::granted);
    EXPECT_EQ(fixture.request_permit(1), verdict::granted);
    EXPECT_EQ(fixture.load(), 1U);
    fixture.release(1);
    fixture.release(1);
    EXPECT_EQ(fixture.load(), 0U);
}

TEST(permit_owner, unrenewed_permits_end_when_lease_expires)
{
    owner_fixture fixture;
    fixture.request_permit(1);
    fixture.owner.tick(start + 39s);
    EXPECT_EQ(fixture.load(), 1U);
    fixture.owner.tick(start + 41s);
    EXPECT_EQ(fixture.load(), 0U);
}

TEST(permit_owner, permits_of_dead_routers_end_at_once)
{
    owner_fixture fixture;
    fixture.request_permit(1);
    fixture.owner.set_live_routers(start, {self}, 0.5);
    EXPECT_EQ(fixture.load(), 0U);
}

TEST(permit_owner, redirects_displaced_chat_to_upstream_that_caches_it)
{
    owner_fixture fixture;
    for (std::uint32_t sequence = 1; sequence <= 20; ++sequence)
        fixture.request_permit(sequence);
    EXPECT_EQ(fixture.request_permit(40, false, 4711), verdict::at_limit);
    for (std::uint32_t sequence = 1; sequence <= 9; ++sequence)
        fixture.release(sequence);
    EXPECT_EQ(fixture.request_permit(41, false, 4711),
              verdict::cached_elsewhere);
    EXPECT_EQ(fixture.request_permit(42, true, 4711), verdict::granted);
    fixture.release(42);
    EXPECT_EQ(fixture.request_permit(43, false, 4711), verdict::granted);
}

TEST(permit_owner, runs_one_suspect_at_a_time_until_its_first_token)
{
    owner_fixture fixture;
    EXPECT_EQ(fixture.request_permit(1, true, 1, true), verdict::granted);
    EXPECT_EQ(fixture.request_permit(2, true, 2, true), verdict::queued);
    EXPECT_EQ(fixture.request_permit(3, true, 3, false), verdict::queued);
    fixture.owner.handle(start, fixture.requester, suspect_cleared{1});
    EXPECT_EQ(fixture.owner.take_responses().size(), 2U);
}

TEST(permit_owner, rejects_queued_requests_when_upstream_stops_admitting)
{
    owner_fixture fixture;
    for (std::uint32_t sequence = 1; sequence <= 12; ++sequence)
        fixture.request_permit(sequence, true);
    fixture.owner.set_owned_upstreams(start, fixture.preset, {{0, 0, false}},
                                      {{0, {self}, {0}}});
    const auto responses = fixture.owner.take_responses();
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_EQ(responses[0].response.decision, verdict::unavailable);
    EXPECT_EQ(fixture.request_permit(50), verdict::unavailable);
}

TEST(permit_owner, responds_queue_full_when_queue_is_full)
{
    owner_fixture fixture;
    for (std::uint32_t sequence = 1; sequence <= 13; ++sequence)
        fixture.request_permit(sequence, true);
    EXPECT_EQ(fixture.request_permit(14, true), verdict::queue_full);
}

TEST(permit_owner, new_owner_registers_permits_from_renewals)
{
    owner_fixture fixture;
    fixture.owner.handle(
        start, fixture.requester,
        permit_renewal{{{1, fixture.id(0)}, {2, fixture.id(0)}}});
    EXPECT_EQ(fixture.load(), 2U);
    fixture.release(1);
    EXPECT_EQ(fixture.load(), 1U);
}

/// A client whose requests go to `owner`, which a test may change.
struct client_fixture
{
    client_fixture() : client([this](upstream_id) { return owner; }, 0) {}

    permit_demand make_demand(std::size_t candidates)
    {
        permit_demand result;
        for (std::size_t index = 0; index < candidates; ++index)
            result.candidates.push_back(
                upstream_id{static_cast<std::uint32_t>(index + 1)});
        result.start_deadline = start + 5s;
        return result;
    }

    void respond(permit_ticket ticket, verdict decision, time_point now = start)
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

TEST(permit_client, tries_next_candidate_then_queues)
{
    client_fixture fixture;
    const auto ticket = fixture.client.acquire(start, fixture.make_demand(2));
    EXPECT_EQ(fixture.sent<permit_request>().size(), 1U);
    fixture.respond(ticket, verdict::at_limit);
    fixture.respond(ticket, verdict::at_limit);
    const auto requests = fixture.sent<permit_request>();
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_TRUE(requests[1].may_queue);
    fixture.respond(ticket, verdict::granted);
    const auto decisions = fixture.client.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].result, permit_result::granted);
    EXPECT_EQ(fixture.client.held_count(), 1U);
}

TEST(permit_client, releases_grant_without_pending_request)
{
    client_fixture fixture;
    fixture.respond(77, verdict::granted);
    fixture.client.tick(start + 50ms);
    const auto releases = fixture.sent<permit_release>();
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_EQ(releases[0].permits[0].sequence, 77U);
}

TEST(permit_client, request_expires_at_start_deadline)
{
    client_fixture fixture;
    fixture.client.acquire(start, fixture.make_demand(1));
    for (auto now = start; now < start + 6s; now += 50ms)
        fixture.client.tick(now);
    const auto decisions = fixture.client.take_decisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(fixture.client.pending_count(), 0U);
}

TEST(permit_client, registers_permits_with_new_owner)
{
    client_fixture fixture;
    const auto ticket = fixture.client.acquire(start, fixture.make_demand(1));
    fixture.respond(ticket, verdict::granted);
    fixture.owner = router_id{51};
    fixture.client.handle_view_change(start);
    const auto renewals = fixture.sent<permit_renewal>();
    ASSERT_EQ(renewals.size(), 1U);
    EXPECT_EQ(renewals[0].permits[0].sequence, ticket);
}

TEST(permit_client, reports_slow_first_token_once)
{
    client_fixture fixture;
    const auto ticket = fixture.client.acquire(start, fixture.make_demand(1));
    fixture.client.handle(start, fixture.owner,
                          {.sequence = ticket,
                           .decision = verdict::granted,
                           .usual_first_token_ms = 100});
    fixture.client.tick(start + 200ms);
    EXPECT_TRUE(fixture.sent<slow_first_token>().empty());
    fixture.client.tick(start + 400ms);
    EXPECT_EQ(fixture.sent<slow_first_token>().size(), 1U);
    fixture.client.tick(start + 500ms);
    EXPECT_TRUE(fixture.sent<slow_first_token>().empty());
}

TEST(retry_budget, limits_retries_to_share_of_requests)
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

RC_GTEST_PROP(permit_owner, never_grants_above_limit, ())
{
    owner_fixture fixture;
    time_point now = start;
    std::uint32_t sequence = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps)
    {
        now += duration{step * 20'000};
        const auto chosen_sequence =
            static_cast<std::uint32_t>(step) % (sequence + 1);
        switch (step % 5)
        {
        case 0:
            fixture.owner.handle(now, fixture.requester,
                                 permit_release{{{chosen_sequence}}});
            break;
        case 1:
            fixture.owner.handle(now, fixture.requester,
                                 permit_cancel{chosen_sequence});
            break;
        case 2:
            fixture.owner.tick(now);
            break;
        default:
            fixture.owner.handle(
                now, fixture.requester,
                permit_request{.sequence = ++sequence,
                               .upstream = fixture.id(0),
                               .chat = chat_id{chosen_sequence},
                               .max_queue_wait_ms = 3000,
                               .may_queue = step % 2 == 0});
        }
        const auto status = fixture.owner.status(now)[0];
        RC_ASSERT(status.load <= 10U);
        RC_ASSERT(status.waiting <= 3U);
    }
}

} // namespace

} // namespace baobabloft::routing
